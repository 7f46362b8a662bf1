package report

import (
	"html/template"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"otterseam/sim/batch"
	"otterseam/sim/metrics"
)

// maxCapacityShown is the capacity of a counter in calls a second up to which it is drawn beside the calls.
const maxCapacityShown = 1e5

// curve is a figure by second.
type curve struct {
	name string
	of   func(second metrics.Second) float64
}

// linesChart is a chart of curves.
type linesChart struct {
	title, yLabel string
	curves        []curve
}

// runCharts draws the course of one run.
func runCharts(run *batch.Run) ([]template.HTML, error) {
	first, err := outcomesChart(run)
	if err != nil {
		return nil, err
	}
	charts := []template.HTML{first}
	for _, lines := range []linesChart{latencyLines(), counterLines(run), hostLines(), invocationLines()} {
		chart, err := lines.draw(run)
		if err != nil {
			return nil, err
		}
		charts = append(charts, chart)
	}
	return charts, nil
}

func latencyLines() linesChart {
	return linesChart{"Answers", "milliseconds", []curve{
		{"median", func(s metrics.Second) float64 { return s.P50 }},
		{"99th of 100", func(s metrics.Second) float64 { return s.P99 }},
	}}
}

func counterLines(run *batch.Run) linesChart {
	lines := linesChart{"Calls to the counter", "a second", []curve{
		{"calls", func(s metrics.Second) float64 { return s.CounterCalls }},
		{"without a total", func(s metrics.Second) float64 { return s.CounterCallsFailed }},
	}}
	if run.Capacity > 0 && run.Capacity < maxCapacityShown {
		lines.curves = append(lines.curves, curve{"the counter's capacity", func(metrics.Second) float64 { return run.Capacity }})
	}
	return lines
}

func hostLines() linesChart {
	return linesChart{"Work a host", "deliveries", []curve{
		{"out, by the api gateways", func(s metrics.Second) float64 { return s.AttemptsInFlight / max(1, s.HostsUp) }},
		{"at it", func(s metrics.Second) float64 { return s.HostLoad / max(1, s.HostsUp) }},
		{"cores at work, part", func(s metrics.Second) float64 { return s.CoreUtilization }},
	}}
}

func invocationLines() linesChart {
	return linesChart{"Tries", "a second", []curve{
		{"first", func(s metrics.Second) float64 { return s.FirstInvocations }},
		{"repeats", func(s metrics.Second) float64 { return s.ClientRetries }},
		{"deliveries", func(s metrics.Second) float64 { return s.Attempts }},
		{"new connections", func(s metrics.Second) float64 { return s.Dials }},
	}}
}

// draw draws the curves of a run.
func (l linesChart) draw(run *batch.Run) (template.HTML, error) {
	const minTop = 1e-9 // a chart needs some height
	chart := newChart(l.title, l.yLabel)
	top := 0.0
	for i, each := range l.curves {
		if err := addLine(chart, each, colourOf(lineColours, i), run); err != nil {
			return "", err
		}
		for _, second := range run.Seconds {
			top = max(top, each.of(second))
		}
	}
	markFaults(chart, run, max(top, minTop))
	chart.Y.Min = 0
	chart.Y.Max = max(top*legendRoom, minTop)
	return SVG(chart, halfWidth, 6*vg.Centimeter)
}

func addLine(chart *plot.Plot, drawn curve, colour color.Color, run *batch.Run) error {
	const width = 1.2 // points
	var points plotter.XYs
	for i, second := range run.Seconds {
		points = append(points, plotter.XY{X: float64(i), Y: drawn.of(second)})
	}
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = colour
	line.Width = vg.Points(width)
	chart.Add(line)
	chart.Legend.Add(drawn.name, line)
	return nil
}

// outcomesChart draws what became of the value that was asked for in each second, as areas on top of each other.
func outcomesChart(run *batch.Run) (template.HTML, error) {
	const top = 1.45 // of a chart of parts: room for the legend
	chart := newChart("What became of the value asked for inside the quotas, by the second it was first asked for", "part of it")
	stacked := make([]float64, len(run.Seconds))
	for i, outcome := range outcomes[:beyondQuota] {
		border := stackOutcome(stacked, outcome, run.Seconds)
		if len(border) == 0 {
			continue
		}
		area, err := plotter.NewPolygon(border)
		if err != nil {
			return "", err
		}
		area.Color = colours[i]
		area.Width = 0
		chart.Add(area)
		chart.Legend.Add(outcome.name, area)
	}
	beyond := curve{outcomes[beyondQuota].name, func(s metrics.Second) float64 { return s.Fraction(s.BeyondQuota) }}
	if err := addLine(chart, beyond, colours[beyondQuota], run); err != nil {
		return "", err
	}
	markFaults(chart, run, 1)
	chart.Y.Min = 0
	chart.Y.Max = top
	return SVG(chart, fullWidth, 8.5*vg.Centimeter)
}

// stackOutcome puts an outcome's parts on top of those that are stacked by second, and gives the border of its area.
func stackOutcome(stacked []float64, outcome outcome, seconds []metrics.Second) plotter.XYs {
	var upper, lower plotter.XYs
	for i, second := range seconds {
		if second.Requested == 0 {
			continue
		}
		next := stacked[i] + outcome.of(second.Share)/second.Requested
		lower = append(lower, plotter.XY{X: float64(i), Y: stacked[i]})
		upper = append(upper, plotter.XY{X: float64(i), Y: next})
		stacked[i] = next
	}
	slices.Reverse(lower)
	return append(upper, lower...)
}
