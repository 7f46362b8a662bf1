package report

// This file writes the HTML report and draws its pictures.

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"otterseam/sim/batch"
	"otterseam/sim/metrics"
)

// Colours that most people can tell apart, in the order of the causes.
var colours = []color.RGBA{
	{0x3b, 0x8e, 0x5a, 255},
	{0xb9, 0xc8, 0x4a, 255},
	{0xe0, 0x8b, 0x2c, 255},
	{0xf3, 0xd0, 0x8f, 255},
	{0xb0, 0x3a, 0x5b, 255},
	{0x6d, 0x4a, 0x8f, 255},
	{0x22, 0x22, 0x22, 255},
	{0x2a, 0x6f, 0xb5, 255},
}

// SVG draws a picture as part of a page.
func SVG(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 { // the XML head has no place within a page
		text = text[i:]
	}
	return template.HTML(text), nil
}

func base(title, y string) *plot.Plot {
	plot.DefaultFont = font.Font{Typeface: "Liberation", Variant: "Sans"}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Title.TextStyle.Font.Size, p.X.Label.TextStyle.Font.Size, p.Y.Label.TextStyle.Font.Size = 11, 9, 9
	p.Legend.TextStyle.Font.Size = 8
	p.Legend.Top = true
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Gray{235}, color.Gray{225}
	p.Add(grid)
	return p
}

// troubles marks when each trouble lasts.
func troubles(p *plot.Plot, r *batch.Run, top float64) {
	for i, t := range r.Faults {
		ends := min(max(t.Ends, t.At+0.3), r.Length)
		box, err := plotter.NewPolygon(plotter.XYs{{X: t.At, Y: 0}, {X: ends, Y: 0}, {X: ends, Y: top}, {X: t.At, Y: top}})
		if err != nil {
			continue
		}
		box.Color, box.LineStyle.Width = color.RGBA{0x40, 0x40, 0x60, 0x22}, 0
		p.Add(box)
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: t.At, Y: top * (0.96 - 0.06*float64(i%6))}},
			Labels: []string{t.Kind},
		})
		if err == nil {
			label.TextStyle[0].Font.Size = 8
			p.Add(label)
		}
	}
}

// fate draws what became of the value that was asked for in each second.
func fate(r *batch.Run) (template.HTML, error) {
	p := base("What became of the value asked for inside the quotas, by the second it was first asked for", "part of it")
	n := len(r.Seconds)
	low := make([]float64, n)
	for i, c := range causes[:6] {
		var up, down plotter.XYs
		for s, x := range r.Seconds {
			if x.Requested == 0 {
				continue
			}
			next := low[s] + c.of(x.Share)/x.Requested
			down = append(down, plotter.XY{X: float64(s), Y: low[s]})
			up = append(up, plotter.XY{X: float64(s), Y: next})
			low[s] = next
		}
		if len(up) == 0 {
			continue
		}
		slices.Reverse(down)
		area, err := plotter.NewPolygon(append(up, down...))
		if err != nil {
			return "", err
		}
		area.Color, area.LineStyle.Width = colours[i], 0
		p.Add(area)
		p.Legend.Add(c.name, area)
	}
	if err := line(p, "sent beyond the quota", colours[6], r, func(s metrics.Second) float64 { return s.Fraction(s.BeyondQuota) }); err != nil {
		return "", err
	}
	troubles(p, r, 1)
	p.Y.Min, p.Y.Max = 0, 1.45 // room for the legend
	return SVG(p, 22*vg.Centimeter, 8.5*vg.Centimeter)
}

func line(p *plot.Plot, name string, c color.Color, r *batch.Run, of func(s metrics.Second) float64) error {
	var xys plotter.XYs
	for i, s := range r.Seconds {
		xys = append(xys, plotter.XY{X: float64(i), Y: of(s)})
	}
	if len(xys) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	l.Color, l.Width = c, vg.Points(1.2)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

type curve struct {
	name string
	of   func(s metrics.Second) float64
}

func lines(r *batch.Run, title, y string, curves ...curve) (template.HTML, error) {
	p := base(title, y)
	top := 0.0
	for i, c := range curves {
		if err := line(p, c.name, colours[[]int{7, 2, 4, 0, 5}[i%5]], r, c.of); err != nil {
			return "", err
		}
		for _, s := range r.Seconds {
			top = max(top, c.of(s))
		}
	}
	troubles(p, r, max(top, 1e-9))
	p.Y.Min, p.Y.Max = 0, max(top*1.3, 1e-9)
	return SVG(p, 10.8*vg.Centimeter, 6*vg.Centimeter)
}

// pictures draws one run.
func pictures(r *batch.Run) (all []template.HTML, err error) {
	add := func(h template.HTML, e error) {
		if e != nil && err == nil {
			err = e
		}
		all = append(all, h)
	}
	add(fate(r))
	add(lines(r, "Answers", "milliseconds", curve{"median", func(s metrics.Second) float64 { return s.P50 }},
		curve{"99th of 100", func(s metrics.Second) float64 { return s.P99 }}))
	calls := []curve{{"calls", func(s metrics.Second) float64 { return s.CounterCalls }}, {"without a total", func(s metrics.Second) float64 { return s.CounterCallsFailed }}}
	if r.Capacity > 0 && r.Capacity < 1e5 {
		calls = append(calls, curve{"the counter's capacity", func(metrics.Second) float64 { return r.Capacity }})
	}
	add(lines(r, "Calls to the counter", "a second", calls...))
	add(lines(r, "Work a host", "deliveries", curve{"out, by the api gateways", func(s metrics.Second) float64 { return s.AttemptsInFlight / max(1, s.HostsUp) }},
		curve{"at it", func(s metrics.Second) float64 { return s.HostLoad / max(1, s.HostsUp) }},
		curve{"cores at work, part", func(s metrics.Second) float64 { return s.CoreUtilization }}))
	add(lines(r, "Tries", "a second", curve{"first", func(s metrics.Second) float64 { return s.FirstInvocations }},
		curve{"repeats", func(s metrics.Second) float64 { return s.ClientRetries }}, curve{"deliveries", func(s metrics.Second) float64 { return s.Attempts }},
		curve{"new connections", func(s metrics.Second) float64 { return s.Dials }}))
	return all, err
}

// shares draws the served part of each plan, class and operation side by side for all groups.
func shares(gs []*Group, rs []*batch.Run) (template.HTML, error) {
	p := base("Served in time, of what each asked for inside its quota", "part")
	p.X.Label.Text = ""
	var labels []string
	var values [][]float64 // by group
	for range gs {
		values = append(values, nil)
	}
	for _, of := range []func(r *batch.Run) map[string]*metrics.Share{
		func(r *batch.Run) map[string]*metrics.Share { return r.Plans },
		func(r *batch.Run) map[string]*metrics.Share { return r.QuotaUses },
		func(r *batch.Run) map[string]*metrics.Share { return r.Operations },
	} {
		for _, name := range names(rs, of) {
			labels = append(labels, name)
			for i, g := range gs {
				m, _ := g.Mean(func(r *batch.Run) float64 {
					if x := of(r)[name]; x != nil {
						return x.Fraction(x.Served)
					}
					return 0
				})
				values[i] = append(values[i], m)
			}
		}
	}
	width := vg.Points(max(2, 240/float64(len(labels)*len(gs)+1)))
	for i, v := range values {
		bars, err := plotter.NewBarChart(plotter.Values(v), width)
		if err != nil {
			return "", err
		}
		bars.Color, bars.LineStyle.Width = colours[[]int{7, 2, 0, 4, 5, 1, 3, 6}[i%8]], 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(values)-1)/2)
		p.Add(bars)
		p.Legend.Add(gs[i].Name(), bars)
	}
	p.NominalX(labels...)
	p.Y.Min, p.Y.Max = 0, 1.35
	return SVG(p, 22*vg.Centimeter, 7*vg.Centimeter)
}

// sweep draws a figure against the one key whose values differ, a line for each set of the other changes.
func sweep(gs []*Group, key, title string, of func(r *batch.Run) float64) (template.HTML, error) {
	p := base(title, "part of the value asked for inside quotas")
	p.X.Label.Text = key
	type series struct {
		name string
		xys  plotter.XYs
		errs plotter.YErrors
	}
	var all []*series
	for _, g := range gs {
		x, err := strconv.ParseFloat(strings.TrimRight(g.Over[key], "/smunk"), 64)
		if err != nil {
			return "", nil // not a figure: no line to draw
		}
		rest := &Group{Decider: g.Decider, Over: map[string]string{}}
		for k, v := range g.Over {
			if k != key {
				rest.Over[k] = v
			}
		}
		i := slices.IndexFunc(all, func(s *series) bool { return s.name == rest.Name() })
		if i < 0 {
			all, i = append(all, &series{name: rest.Name()}), len(all)
		}
		m, s := g.Mean(of)
		all[i].xys = append(all[i].xys, plotter.XY{X: x, Y: m})
		all[i].errs = append(all[i].errs, struct{ Low, High float64 }{s, s})
	}
	lo, hi := math.Inf(1), math.Inf(-1)
	for i, s := range all {
		l, err := plotter.NewLine(s.xys)
		if err != nil {
			return "", err
		}
		c := colours[[]int{7, 2, 0, 4, 5, 6}[i%6]]
		l.Color, l.Width = c, vg.Points(1.4)
		p.Add(l)
		p.Legend.Add(s.name, l)
		if bars, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{s.xys, s.errs}); err == nil {
			bars.LineStyle.Color = c
			p.Add(bars)
		}
		for j, xy := range s.xys {
			lo, hi = min(lo, xy.Y-s.errs[j].Low), max(hi, xy.Y+s.errs[j].High)
		}
	}
	p.Y.Min, p.Y.Max = min(0, lo), max(hi, 0.01)*1.3
	return SVG(p, 10.8*vg.Centimeter, 7*vg.Centimeter)
}

// swept is the key whose values differ most.
func swept(gs []*Group) string {
	values := map[string]map[string]bool{}
	for _, g := range gs {
		for k, v := range g.Over {
			if values[k] == nil {
				values[k] = map[string]bool{}
			}
			values[k][v] = true
		}
	}
	best := ""
	for k, v := range values {
		if len(v) > 1 && (best == "" || len(v) > len(values[best]) || len(v) == len(values[best]) && k < best) {
			best = k
		}
	}
	return best
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font:15px/1.5 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}
h1{font-size:1.5rem}h2{font-size:1.15rem;margin-top:2rem}svg{max-width:100%;height:auto}
pre{background:#f5f5f2;padding:.8rem;overflow:auto;font-size:12.5px;line-height:1.45}.bad{color:#a01030}
.row{display:flex;flex-wrap:wrap;gap:.5rem}
</style>
<h1>{{.Title}}</h1>
<p>Figures of the laboratory's model: hosts, counter, clients and api gateways are simulated, the deciding module is the true one.
Shares are of the billed value asked for inside the quotas.</p>
{{range .Broken}}<p class="bad">{{.}}</p>{{end}}
<pre>{{.Text}}</pre>
{{if .Diff}}<h2>Difference by cause, seed by seed</h2><pre>{{.Diff}}</pre>{{end}}
{{if .Sweep}}<h2>Against {{.Key}}</h2><div class="row">{{range .Sweep}}{{.}}{{end}}</div>{{end}}
<h2>Plans, customers by their use, operations</h2>{{.Shares}}
{{range .Parts}}<h2>{{.Name}}</h2><div class="row">{{range .Pictures}}{{.}}{{end}}</div>{{end}}
</html>
`))

// HTML writes one self-contained page: tables, the differences from the first group, a sweep's curves, and the course of
// the first run of each of at most eight groups.
func HTML(title string, rs []*batch.Run) ([]byte, error) {
	gs := Groups(rs)
	type piece struct {
		Name     string
		Pictures []template.HTML
	}
	var data struct {
		Title, Text, Diff, Key string
		Broken                 []string
		Sweep                  []template.HTML
		Shares                 template.HTML
		Parts                  []piece
	}
	data.Title = title
	var b bytes.Buffer
	if err := Text(&b, rs); err != nil {
		return nil, err
	}
	data.Text = b.String()
	b.Reset()
	data.Key = swept(gs)
	if data.Key == "" {
		if err := Differences(&b, rs); err != nil {
			return nil, err
		}
		data.Diff = b.String()
	}
	for _, r := range rs {
		if r.ViolationCount > 0 {
			data.Broken = append(data.Broken, fmt.Sprintf("%d rules broken on %s, seed %d, by %s", r.ViolationCount, r.Day, r.Seed, r.Decider))
		}
	}
	if data.Key != "" {
		for i, c := range []int{0, 6, 2, 7} {
			h, err := sweep(gs, data.Key, strings.ToUpper(causes[c].name[:1])+causes[c].name[1:], part(causes[c]))
			if err != nil {
				return nil, err
			}
			if h != "" || i > 0 {
				data.Sweep = append(data.Sweep, h)
			}
		}
	}
	var err error
	if len(gs) <= 8 {
		if data.Shares, err = shares(gs, rs); err != nil {
			return nil, err
		}
	}
	for i, g := range gs {
		if i == 8 || data.Key != "" && i == 4 {
			break
		}
		p, err := pictures(g.Runs[0])
		if err != nil {
			return nil, err
		}
		data.Parts = append(data.Parts, piece{fmt.Sprintf("%s: %s, seed %d, %d api gateways, %d hosts", g.Day, g.Name(), g.Runs[0].Seed,
			g.Runs[0].Gateways, g.Runs[0].Hosts), p})
	}
	b.Reset()
	if err := page.Execute(&b, data); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
