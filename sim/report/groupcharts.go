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

// sharesChart draws the fraction served in time of each plan, use of the quota and operation, side by side for all groups.
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
	for i, groupValues := range values {
		bars, err := plotter.NewBarChart(groupValues, width)
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

// series is one line of a sweep chart: the groups that differ only in the swept key.
type series struct {
	name   string
	points plotter.XYs
	errors plotter.YErrors
}

// sweepChart draws an outcome against the swept key, with a line for each set of the other overrides. It returns "" if a value of the key
// is not a number.
func sweepChart(groups []*Group, key string, drawn outcome) (template.HTML, error) {
	const minTop = 0.01
	chart := newChart(strings.ToUpper(drawn.name[:1])+drawn.name[1:], "part of the value asked for inside quotas")
	chart.X.Label.Text = key
	allSeries := sweepSeries(groups, key, drawn)
	if allSeries == nil {
		return "", nil
	}
	low := math.Inf(1)
	high := math.Inf(-1)
	for i, each := range allSeries {
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

// sweepSeries sorts groups into series. It returns nil if a value of the key is not a number.
func sweepSeries(groups []*Group, key string, drawn outcome) []*series {
	const units = "/smunk" // letters of the units that may follow a number
	var allSeries []*series
	for _, group := range groups {
		x, err := strconv.ParseFloat(strings.TrimRight(group.Overrides[key], units), 64)
		if err != nil {
			return nil
		}
		name := group.nameWithout(key)
		index := slices.IndexFunc(allSeries, func(s *series) bool { return s.name == name })
		if index < 0 {
			index = len(allSeries)
			allSeries = append(allSeries, &series{name: name})
		}
		mean, spread := group.Mean(drawn.fraction)
		allSeries[index].points = append(allSeries[index].points, plotter.XY{X: x, Y: mean})
		allSeries[index].errors = append(allSeries[index].errors, struct{ Low, High float64 }{spread, spread})
	}
	return allSeries
}

// nameWithout returns the name of a group without the override of one key.
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
	if err == nil { // values that are not finite get no error bars
		bars.Color = colour
		chart.Add(bars)
	}
	return nil
}

// sweptKey returns the override with the most distinct values over all groups, and the first by name if several have as many. It returns
// "" if no key has two values.
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
