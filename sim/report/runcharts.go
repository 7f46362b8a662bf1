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

// maxCapacityShown is the largest counter capacity, in calls per second, that is drawn beside the calls.
const maxCapacityShown = 1e5

// curve is one line of a chart: a figure of each second.
type curve struct {
	name  string
	value func(second metrics.Second) float64
}

// linesChart describes a chart of curves over time.
type linesChart struct {
	title, yLabel string
	curves        []curve
}

// runCharts draws the charts of one run over time.
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
		{"99th percentile", func(s metrics.Second) float64 { return s.P99 }},
	}}
}

func counterLines(run *batch.Run) linesChart {
	lines := linesChart{"Calls to the counter", "per second", []curve{
		{"calls", func(s metrics.Second) float64 { return s.CounterCalls }},
		{"without a total", func(s metrics.Second) float64 { return s.CounterCallsFailed }},
	}}
	if run.Capacity > 0 && run.Capacity < maxCapacityShown {
		lines.curves = append(lines.curves, curve{"the counter's capacity", func(metrics.Second) float64 { return run.Capacity }})
	}
	return lines
}

func hostLines() linesChart {
	return linesChart{"Work per host", "deliveries", []curve{
		{"in flight, by the api gateways", func(s metrics.Second) float64 { return s.AttemptsInFlight / max(1, s.HostsUp) }},
		{"waiting or running at the host", func(s metrics.Second) float64 { return s.HostLoad / max(1, s.HostsUp) }},
		{"share of busy cores", func(s metrics.Second) float64 { return s.CoreUtilization }},
	}}
}

func invocationLines() linesChart {
	return linesChart{"Tries", "per second", []curve{
		{"first", func(s metrics.Second) float64 { return s.FirstInvocations }},
		{"repeats", func(s metrics.Second) float64 { return s.ClientRetries }},
		{"deliveries", func(s metrics.Second) float64 { return s.Attempts }},
		{"new connections", func(s metrics.Second) float64 { return s.Dials }},
	}}
}

// draw draws the chart with the figures of a run.
func (l linesChart) draw(run *batch.Run) (template.HTML, error) {
	const minTop = 1e-9 // a chart must not have height 0
	chart := newChart(l.title, l.yLabel)
	top := 0.0
	for i, each := range l.curves {
		if err := addLine(chart, each, colourOf(lineColours, i), run); err != nil {
			return "", err
		}
		for _, second := range run.Seconds {
			top = max(top, each.value(second))
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
		points = append(points, plotter.XY{X: float64(i), Y: drawn.value(second)})
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

// outcomesChart draws the outcomes of the value requested in each second as stacked areas.
func outcomesChart(run *batch.Run) (template.HTML, error) {
	const top = 1.45 // of a chart of fractions, with room for the legend
	chart := newChart("Outcomes of the value asked for inside the quotas, by the second it was first asked for", "part of it")
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

// stackOutcome adds an outcome's fraction of each second to the stacked fractions and returns the border of its area.
func stackOutcome(stacked []float64, outcome outcome, seconds []metrics.Second) plotter.XYs {
	var upper, lower plotter.XYs
	for i, second := range seconds {
		if second.Requested == 0 {
			continue
		}
		next := stacked[i] + outcome.value(second.Share)/second.Requested
		lower = append(lower, plotter.XY{X: float64(i), Y: stacked[i]})
		upper = append(upper, plotter.XY{X: float64(i), Y: next})
		stacked[i] = next
	}
	slices.Reverse(lower)
	return append(upper, lower...)
}
