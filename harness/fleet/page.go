package fleet

// This file draws the timeline of a script: one row a process, what struck it and its links, what its log said, and what
// was served.

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

	"otterseam/sim/report"
)

var page = template.Must(template.New("page").Parse(`<!doctype html><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:14px sans-serif;max-width:62em;margin:2em auto;color:#222}pre{background:#f4f4f4;padding:.6em;overflow:auto}
.bad{color:#a02040}</style>
<h1>{{.Name}}, seed {{.Seed}}</h1><p>{{.About}}</p>{{.Rows}}{{.Served}}
<h2>Promises and rules</h2><ul>{{range .Kept}}<li>{{.}}</li>{{end}}{{range .Broken}}<li class="bad">{{.Text}}
<pre>{{range .Lines}}{{.}}
{{end}}{{range .Faults}}in force: {{.}}
{{end}}</pre></li>{{end}}</ul>
<h2>What the api gateways said</h2><pre>{{range .Lines}}{{printf "%8.2f s  api gateway %d  %s" .At .Edge .Text}}
{{end}}</pre>`))

var (
	red  = color.RGBA{0xb0, 0x3a, 0x5b, 0xd0}
	grey = color.RGBA{0x60, 0x60, 0x60, 0xb0}
	blue = color.RGBA{0x2a, 0x6f, 0xb5, 0xb0}
)

// Page writes a result as one HTML page with its pictures in it.
func Page(r *Result) ([]byte, error) {
	rows, err := timeline(r)
	if err != nil {
		return nil, err
	}
	served, err := fate(r)
	if err != nil {
		return nil, err
	}
	lines := r.Lines[:min(len(r.Lines), 400)]
	var b bytes.Buffer
	err = page.Execute(&b, map[string]any{
		"Name": r.Script.Name, "Seed": r.Seed, "About": r.Script.About, "Rows": rows, "Served": served,
		"Kept": r.Kept, "Broken": r.Broken, "Lines": lines,
	})
	return b.Bytes(), err
}

func picture(title, y string, r *Result) *plot.Plot {
	plot.DefaultFont = font.Font{Typeface: "Liberation", Variant: "Sans"}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Title.TextStyle.Font.Size, p.X.Label.TextStyle.Font.Size, p.Y.Label.TextStyle.Font.Size = 11, 9, 9
	p.X.Min, p.X.Max = 0, r.Script.Length.Float()
	return p
}

// timeline draws a row for each api gateway; faults of links to parts stand in its row, thinner.
func timeline(r *Result) (template.HTML, error) {
	p := picture("What struck whom, and what was said", "api gateway", r)
	var ticks []plot.Tick
	for e := range r.Gateways {
		ticks = append(ticks, plot.Tick{Value: float64(e), Label: fmt.Sprint(e)})
	}
	ticks = append(ticks, plot.Tick{Value: -1, Label: "others"})
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	p.Y.Min, p.Y.Max = -1.6, float64(r.Gateways)
	bar := func(from, to, y, half float64, c color.Color) error {
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: y - half}, {X: to, Y: y - half}, {X: to, Y: y + half}, {X: from, Y: y + half}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = c, 0
		p.Add(box)
		return nil
	}
	label := func(x, y float64, text string) error {
		l, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: y}}, Labels: []string{text}})
		if err != nil {
			return err
		}
		l.TextStyle[0].Font.Size = 7
		p.Add(l)
		return nil
	}
	named := map[string]bool{}
	for _, s := range r.Spans {
		y, half, c := float64(s.Edge), 0.32, color.Color(red)
		if strings.Contains(s.What, ">") {
			half, c = 0.14, blue
		}
		ends := min(max(s.Ends, s.Begins+0.03), r.Script.Length.Float())
		if err := bar(s.Begins, ends, y, half, c); err != nil {
			return "", err
		}
		if text := s.Kind; !named[fmt.Sprint(s.Edge, text, s.Begins)] {
			named[fmt.Sprint(s.Edge, text, s.Begins)] = true
			if err := label(s.Begins, y+0.33, text); err != nil {
				return "", err
			}
		}
	}
	for _, l := range r.Lines {
		if l.At < 0 {
			continue
		}
		if err := bar(l.At, l.At+0.012, float64(l.Edge)-0.42, 0.07, grey); err != nil {
			return "", err
		}
		var there, all int // what it believes of the others stands above its line
		if n, _ := fmt.Sscanf(l.Text, "membership: %d of %d", &there, &all); n == 2 {
			if err := label(l.At, float64(l.Edge)-0.34, fmt.Sprint(there)); err != nil {
				return "", err
			}
		}
	}
	return report.SVG(p, 22*vg.Centimeter, vg.Length(4+r.Gateways)*vg.Centimeter)
}

// fate draws what became of the value asked for, second by second.
func fate(r *Result) (template.HTML, error) {
	p := picture("Value inside quotas by the second it was first asked for", "part of it", r)
	for _, c := range []struct {
		name  string
		color color.Color
		of    func(i int) float64
	}{
		{"served in time", color.RGBA{0x3b, 0x8e, 0x5a, 255}, func(i int) float64 { return r.Figures.Seconds[i].Served }},
		{"throttled", color.RGBA{0xe0, 0x8b, 0x2c, 255}, func(i int) float64 {
			return r.Figures.Seconds[i].ThrottledWithRoom + r.Figures.Seconds[i].ThrottledWithoutRoom
		}},
		{"errored or lost", red, func(i int) float64 { return r.Figures.Seconds[i].Errored + r.Figures.Seconds[i].Lost }},
	} {
		var xys plotter.XYs
		for i, s := range r.Figures.Seconds {
			if s.Requested > 0 {
				xys = append(xys, plotter.XY{X: float64(i) + 0.5, Y: c.of(i) / s.Requested})
			}
		}
		if len(xys) == 0 {
			continue
		}
		l, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		l.Color, l.Width = c.color, vg.Points(1.4)
		p.Add(l)
		p.Legend.Add(c.name, l)
	}
	p.Legend.Top, p.Legend.TextStyle.Font.Size = true, 8
	p.Y.Min, p.Y.Max = 0, 1.25
	return report.SVG(p, 22*vg.Centimeter, 6*vg.Centimeter)
}
