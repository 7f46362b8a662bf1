package report

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"otterseam/sim/batch"
)

// Widths of charts: one across the page, or two side by side.
const (
	fullWidth = 22 * vg.Centimeter
	halfWidth = 10.8 * vg.Centimeter
)

// Sizes of text in charts, in points.
const (
	titleSize = 11
	labelSize = 9
	smallSize = 8
)

// legendRoom is the height of a chart as a multiple of its highest value. The space above the values holds the legend.
const legendRoom = 1.3

// colours are colours that most people can tell apart. The first seven are those of the outcomes.
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

// Orders in which charts with several lines or bars use the colours, as indices of colours.
var (
	lineColours  = []int{7, 2, 4, 0, 5}
	barColours   = []int{7, 2, 0, 4, 5, 1, 3, 6}
	sweepColours = []int{7, 2, 0, 4, 5, 6}
)

// colourOf returns the i-th colour of an order and starts the order again after its end.
func colourOf(order []int, i int) color.RGBA { return colours[order[i%len(order)]] }

// SVG draws a chart as an SVG element of a page.
func SVG(chart *plot.Plot, width, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	chart.Draw(draw.New(canvas))
	var written bytes.Buffer
	if _, err := canvas.WriteTo(&written); err != nil {
		return "", err
	}
	text := written.String()
	if i := strings.Index(text, "<svg"); i > 0 { // the XML declaration is not allowed inside a page
		text = text[i:]
	}
	return template.HTML(text), nil
}

func newChart(title, yLabel string) *plot.Plot {
	plot.DefaultFont = font.Font{Typeface: "Liberation", Variant: "Sans"}
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = yLabel
	chart.Title.TextStyle.Font.Size = titleSize
	chart.X.Label.TextStyle.Font.Size = labelSize
	chart.Y.Label.TextStyle.Font.Size = labelSize
	chart.Legend.TextStyle.Font.Size = smallSize
	chart.Legend.Top = true
	grid := plotter.NewGrid()
	grid.Vertical.Color = color.Gray{235}
	grid.Horizontal.Color = color.Gray{225}
	chart.Add(grid)
	return chart
}

// markFaults shades the time of each fault, up to the top of a chart's values, and labels it with the fault's kind.
func markFaults(chart *plot.Plot, run *batch.Run, top float64) {
	const (
		minSeconds  = 0.3  // shortest time shown, so that a very short fault stays visible
		firstLabel  = 0.96 // height of the first label as a share of top
		labelStep   = 0.06
		labelLevels = 6
	)
	for i, fault := range run.Faults {
		ends := min(max(fault.Ends, fault.At+minSeconds), run.Length)
		box, err := plotter.NewPolygon(plotter.XYs{{X: fault.At}, {X: ends}, {X: ends, Y: top}, {X: fault.At, Y: top}})
		if err != nil {
			continue
		}
		box.Color = color.RGBA{0x40, 0x40, 0x60, 0x22}
		box.Width = 0
		chart.Add(box)
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: fault.At, Y: top * (firstLabel - labelStep*float64(i%labelLevels))}},
			Labels: []string{fault.Kind},
		})
		if err == nil {
			label.TextStyle[0].Font.Size = smallSize
			chart.Add(label)
		}
	}
}
