package report

import (
	"html/template"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"otterseam/sim/batch"
)

// sharesChart draws the served part of each plan, use of quotas and operation side by side for all groups.
func sharesChart(groups []*Group, runs []*batch.Run) (template.HTML, error) {
	const (
		barsWidth   = 240 // points, for all bars
		minBarWidth = 2   // points
		top         = 1.35
	)
	chart := newChart("Served in time, of what each asked for inside its quota", "part")
	chart.X.Label.Text = ""
	var labels []string
	values := make([]plotter.Values, len(groups))
	for _, breakdown := range breakdowns {
		for _, name := range breakdown.names(runs) {
			labels = append(labels, name)
			for i, group := range groups {
				mean, _ := group.Mean(breakdown.servedInTime(name))
				values[i] = append(values[i], mean)
			}
		}
	}
	width := vg.Points(max(minBarWidth, barsWidth/float64(len(labels)*len(groups)+1)))
	for i, each := range values {
		bars, err := plotter.NewBarChart(each, width)
		if err != nil {
			return "", err
		}
		bars.Color = colourOf(barColours, i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(values)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(groups[i].Name(), bars)
	}
	chart.NominalX(labels...)
	chart.Y.Min = 0
	chart.Y.Max = top
	return SVG(chart, fullWidth, 7*vg.Centimeter)
}

// series is the groups of a sweep that differ in the swept key only.
type series struct {
	name   string
	points plotter.XYs
	errors plotter.YErrors
}

// sweepChart draws an outcome against the swept key, a line for each set of the other changes; "" where its values are no figures.
func sweepChart(groups []*Group, key string, drawn outcome) (template.HTML, error) {
	const minTop = 0.01
	chart := newChart(strings.ToUpper(drawn.name[:1])+drawn.name[1:], "part of the value asked for inside quotas")
	chart.X.Label.Text = key
	all := sweepSeries(groups, key, drawn)
	if all == nil {
		return "", nil
	}
	low := math.Inf(1)
	high := math.Inf(-1)
	for i, each := range all {
		if err := each.addTo(chart, i); err != nil {
			return "", err
		}
		for j, point := range each.points {
			low = min(low, point.Y-each.errors[j].Low)
			high = max(high, point.Y+each.errors[j].High)
		}
	}
	chart.Y.Min = min(0, low)
	chart.Y.Max = max(high, minTop) * legendRoom
	return SVG(chart, halfWidth, 7*vg.Centimeter)
}

// sweepSeries sorts groups into series; nil where a value of the key is no figure.
func sweepSeries(groups []*Group, key string, drawn outcome) []*series {
	const units = "/smunk" // that may follow a figure
	var all []*series
	for _, group := range groups {
		x, err := strconv.ParseFloat(strings.TrimRight(group.Overrides[key], units), 64)
		if err != nil {
			return nil
		}
		name := group.nameWithout(key)
		i := slices.IndexFunc(all, func(s *series) bool { return s.name == name })
		if i < 0 {
			i = len(all)
			all = append(all, &series{name: name})
		}
		mean, spread := group.Mean(drawn.fraction)
		all[i].points = append(all[i].points, plotter.XY{X: x, Y: mean})
		all[i].errors = append(all[i].errors, struct{ Low, High float64 }{spread, spread})
	}
	return all
}

// nameWithout is the name of a group with all its overrides but one.
func (g *Group) nameWithout(key string) string {
	rest := &Group{Decider: g.Decider, Overrides: map[string]string{}}
	for k, value := range g.Overrides {
		if k != key {
			rest.Overrides[k] = value
		}
	}
	return rest.Name()
}

// addTo draws the series as a line with error bars.
func (s *series) addTo(chart *plot.Plot, index int) error {
	const width = 1.4 // points
	line, err := plotter.NewLine(s.points)
	if err != nil {
		return err
	}
	colour := colourOf(sweepColours, index)
	line.Color = colour
	line.Width = vg.Points(width)
	chart.Add(line)
	chart.Legend.Add(s.name, line)
	bars, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{s.points, s.errors})
	if err == nil { // there are none for values that are not finite
		bars.Color = colour
		chart.Add(bars)
	}
	return nil
}

// sweptKey is the key with the most different values over all groups, the first by name of several; "" where none has two.
func sweptKey(groups []*Group) string {
	values := map[string]map[string]bool{}
	for _, group := range groups {
		for key, value := range group.Overrides {
			if values[key] == nil {
				values[key] = map[string]bool{}
			}
			values[key][value] = true
		}
	}
	best := ""
	for key, different := range values {
		count := len(different)
		if count > 1 && (best == "" || count > len(values[best]) || count == len(values[best]) && key < best) {
			best = key
		}
	}
	return best
}
