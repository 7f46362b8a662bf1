package fleet

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"otterseam/sim/metrics"
	"otterseam/sim/report"
)

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:14px sans-serif;max-width:62em;margin:2em auto;color:#222}pre{background:#f4f4f4;padding:.6em;overflow:auto}
.bad{color:#a02040}</style>
<h1>{{.Name}}, seed {{.Seed}}</h1><p>{{.About}}</p>{{.Rows}}{{.Served}}
<h2>Expectations and rules</h2><ul>{{range .Kept}}<li>{{.}}</li>{{end}}{{range .Broken}}<li class="bad">{{.Text}}
<pre>{{range .Lines}}{{.}}
{{end}}{{range .Faults}}in force: {{.}}
{{end}}</pre></li>{{end}}</ul>
<h2>Logs of the api gateways</h2><pre>{{range .Lines}}{{printf "%8.2f s  api gateway %d  %s" .At .Gateway .Text}}
{{end}}</pre>`))

var (
	red    = color.RGBA{0xb0, 0x3a, 0x5b, 0xd0}
	grey   = color.RGBA{0x60, 0x60, 0x60, 0xb0}
	blue   = color.RGBA{0x2a, 0x6f, 0xb5, 0xb0}
	green  = color.RGBA{0x3b, 0x8e, 0x5a, 255}
	orange = color.RGBA{0xe0, 0x8b, 0x2c, 255}
)

const (
	pageWidth = 22 * vg.Centimeter
	// maxPageLines is the maximum number of log lines on a page.
	maxPageLines = 400
)

// Page renders a result as one HTML page with embedded images.
func Page(r *Result) ([]byte, error) {
	timeline, err := renderTimeline(r)
	if err != nil {
		return nil, err
	}
	outcomes, err := renderOutcomes(r)
	if err != nil {
		return nil, err
	}
	lines := r.Lines[:min(len(r.Lines), maxPageLines)]
	var b bytes.Buffer
	err = pageTemplate.Execute(&b, map[string]any{
		"Name":   r.Script.Name,
		"Seed":   r.Seed,
		"About":  r.Script.About,
		"Rows":   timeline,
		"Served": outcomes,
		"Kept":   r.Kept,
		"Broken": r.Broken,
		"Lines":  lines,
	})
	return b.Bytes(), err
}

// newPlot returns an empty plot over the length of the script.
func newPlot(title, y string, r *Result) *plot.Plot {
	plot.DefaultFont = font.Font{Typeface: "Liberation", Variant: "Sans"}
	p := plot.New()
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = 11
	p.X.Label.Text = "seconds"
	p.X.Label.TextStyle.Font.Size = 9
	p.Y.Label.Text = y
	p.Y.Label.TextStyle.Font.Size = 9
	p.X.Min = 0
	p.X.Max = r.Script.Length.Float()
	return p
}

// Sizes in a row of the timeline, whose height is 1.
const (
	faultHalfHeight     = 0.32 // half the height of a fault's bar
	linkFaultHalfHeight = 0.14
	faultLabelOffset    = 0.33 // above the center of the row
	lineOffset          = 0.42
	lineHalfHeight      = 0.07
	lineLabelOffset     = 0.34 // below the center of the row
	minFaultWidth       = 0.03 // seconds
	lineWidth           = 0.012
)

// timelinePlot is the plot of a timeline: a row for each api gateway, and one below for faults that belong to none.
type timelinePlot struct {
	*plot.Plot
	result *Result
}

func newTimelinePlot(r *Result) *timelinePlot {
	p := newPlot("Faults and log lines of each api gateway", "api gateway", r)
	var ticks []plot.Tick
	for gateway := range r.Gateways {
		ticks = append(ticks, plot.Tick{Value: float64(gateway), Label: fmt.Sprint(gateway)})
	}
	ticks = append(ticks, plot.Tick{Value: -1, Label: "others"})
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	p.Y.Min = -1.6
	p.Y.Max = float64(r.Gateways)
	return &timelinePlot{Plot: p, result: r}
}

// addBar draws a bar centered on the height y.
func (t *timelinePlot) addBar(from, to, y, halfHeight float64, c color.Color) error {
	box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: y - halfHeight}, {X: to, Y: y - halfHeight}, {X: to, Y: y + halfHeight}, {X: from, Y: y + halfHeight}})
	if err != nil {
		return err
	}
	box.Color = c
	box.Width = 0
	t.Add(box)
	return nil
}

func (t *timelinePlot) addLabel(x, y float64, text string) error {
	label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: y}}, Labels: []string{text}})
	if err != nil {
		return err
	}
	label.TextStyle[0].Font.Size = 7
	t.Add(label)
	return nil
}

// addFaults draws a bar for each fault, a thinner one for a fault of a link. Faults of one kind that begin together in a row share a label.
func (t *timelinePlot) addFaults() error {
	labelled := map[string]bool{}
	for _, span := range t.result.Spans {
		y := float64(span.Gateway)
		half := faultHalfHeight
		c := red
		if strings.Contains(span.Target, ">") {
			half = linkFaultHalfHeight
			c = blue
		}
		ends := min(max(span.Ends, span.Begins+minFaultWidth), t.result.Script.Length.Float())
		if err := t.addBar(span.Begins, ends, y, half, c); err != nil {
			return err
		}
		key := fmt.Sprint(span.Gateway, span.Kind, span.Begins)
		if labelled[key] {
			continue
		}
		labelled[key] = true
		if err := t.addLabel(span.Begins, y+faultLabelOffset, span.Kind); err != nil {
			return err
		}
	}
	return nil
}

// addLines draws a mark for each log line. A line about membership is labelled with the number of api gateways that its gateway counts as
// present.
func (t *timelinePlot) addLines() error {
	for _, line := range t.result.Lines {
		if line.At < 0 {
			continue
		}
		y := float64(line.Gateway)
		if err := t.addBar(line.At, line.At+lineWidth, y-lineOffset, lineHalfHeight, grey); err != nil {
			return err
		}
		var present, all int
		if _, err := fmt.Sscanf(line.Text, "membership: %d of %d", &present, &all); err != nil {
			continue // not about membership
		}
		if err := t.addLabel(line.At, y-lineLabelOffset, fmt.Sprint(present)); err != nil {
			return err
		}
	}
	return nil
}

// renderTimeline draws a row for each api gateway with its faults, those of its links and its log lines.
func renderTimeline(r *Result) (template.HTML, error) {
	t := newTimelinePlot(r)
	if err := t.addFaults(); err != nil {
		return "", err
	}
	if err := t.addLines(); err != nil {
		return "", err
	}
	return report.SVG(t.Plot, pageWidth, vg.Length(4+r.Gateways)*vg.Centimeter)
}

// valueCurves are the curves that renderOutcomes draws.
var valueCurves = []struct {
	name  string
	color color.Color
	of    func(s *metrics.Share) float64
}{
	{"served in time", green, func(s *metrics.Share) float64 { return s.Served }},
	{"throttled", orange, func(s *metrics.Share) float64 { return s.ThrottledWithRoom + s.ThrottledWithoutRoom }},
	{"errored or lost", red, func(s *metrics.Share) float64 { return s.Errored + s.Lost }},
}

// renderOutcomes plots the outcomes of the requested value, second by second.
func renderOutcomes(r *Result) (template.HTML, error) {
	p := newPlot("Value within quotas by the second of the first attempt", "share of value", r)
	for _, curve := range valueCurves {
		var points plotter.XYs
		for i := range r.Figures.Seconds {
			if second := &r.Figures.Seconds[i]; second.Requested > 0 {
				points = append(points, plotter.XY{X: float64(i) + 0.5, Y: curve.of(&second.Share) / second.Requested})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = curve.color
		line.Width = vg.Points(1.4)
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = 8
	p.Y.Min = 0
	p.Y.Max = 1.25
	return report.SVG(p, pageWidth, 6*vg.Centimeter)
}
