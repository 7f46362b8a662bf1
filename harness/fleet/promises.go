package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"otterseam/sim/metrics"
	"otterseam/sim/scenario"
)

// tiny keeps quotients of nothing finite.
const tiny = 1e-9

// checkPromises checks what the script promises; broken is told of each that does not hold.
func (r *Result) checkPromises(broken func(text string)) {
	for _, promise := range r.Script.Expectations {
		value, of := r.figure(promise)
		text := fmt.Sprintf("%s%s: %.4g", promise.Kind, of, value)
		if value < promise.Min.Float() || value > promise.Max.Float() || math.IsNaN(value) {
			broken(fmt.Sprintf("promised: %s, from %g to %g wanted", text, promise.Min.Float(), promise.Max.Float()))
			continue
		}
		r.Kept = append(r.Kept, text)
	}
}

// window is a part of the scenario, in seconds, and what happened in it.
type window struct {
	from, until float64
	share       metrics.Share
	attempts    float64
	dials       float64
	calls       float64
}

func (r *Result) window(promise scenario.Expectation) window {
	w := window{from: promise.From.Float(), until: min(promise.Until.Float(), r.Script.Length.Float())}
	for i, second := range r.Figures.Seconds {
		if at := float64(i); at >= w.from && at < w.until {
			w.share.Add(second.Share)
			w.attempts += second.Attempts
			w.dials += second.Dials
			w.calls += second.CounterCalls
		}
	}
	return w
}

// rate is a count in the window, a second.
func (w *window) rate(count float64) float64 { return count / max(tiny, w.until-w.from) }

// ofRequested is a part of the value that was asked for in the window.
func (w *window) ofRequested(value float64) float64 { return value / max(tiny, w.share.Requested) }

// describe says which window it is; "" for the whole scenario.
func (w *window) describe(length float64) string {
	if w.from > 0 || w.until < length {
		return fmt.Sprintf(" in seconds %g to %g", w.from, w.until)
	}
	return ""
}

// figure is the value of a promise's figure, and a word on what it is of.
func (r *Result) figure(promise scenario.Expectation) (value float64, of string) {
	w := r.window(promise)
	of = w.describe(r.Script.Length.Float())
	if value, ok := w.figure(promise.Kind); ok {
		return value, of
	}
	switch promise.Kind {
	case "tries":
		return r.Figures.Invocations, ""
	case "mail":
		return r.Datagrams / r.Script.Length.Float() / float64(r.Gateways), ""
	case "struck":
		return float64(r.FaultsApplied), ""
	case "runs":
		return r.running(promise), ""
	case "log":
		return r.countLines(promise, &w), fmt.Sprintf(" %q%s", promise.Text, of)
	}
	return r.Audit.figure(promise.Kind), ""
}

// figure is the value of a figure of the traffic; false: it is of something else.
func (w *window) figure(what string) (value float64, ok bool) {
	switch what {
	case "served":
		return w.ofRequested(w.share.Served), true
	case "served-value":
		return w.rate(w.share.ServedOfSent), true
	case "throttled":
		return w.ofRequested(w.share.ThrottledWithRoom + w.share.ThrottledWithoutRoom), true
	case "errored":
		return w.ofRequested(w.share.Errored + w.share.Lost), true
	case "beyond":
		return w.share.BeyondQuota / max(tiny, w.share.FirstSent), true
	case "deliveries":
		return w.rate(w.attempts), true
	case "dials":
		return w.rate(w.dials), true
	case "calls":
		return w.rate(w.calls), true
	}
	return 0, false
}

// figure is the value of a figure of the quota store; 0 without one.
func (a *Audit) figure(what string) float64 {
	if a == nil {
		return 0
	}
	switch what {
	case "promised-lost":
		return float64(len(a.Lost))
	case "put-back-twice":
		return float64(len(a.CountedTwice))
	case "second-effects":
		return float64(len(a.SecondEffects))
	case "kept-answers":
		return float64(a.Answered)
	}
	return 0
}

// running is how many of a promise's api gateways run at the end.
func (r *Result) running(promise scenario.Expectation) float64 {
	count := 0.0
	for _, gateway := range r.gatewaysOf(promise) {
		if r.Runs[gateway] {
			count++
		}
	}
	return count
}

// countLines is how many log lines of a promise's api gateways hold its text, in the window or read after the end.
func (r *Result) countLines(promise scenario.Expectation, w *window) float64 {
	gateways := r.gatewaysOf(promise)
	count := 0.0
	for _, line := range r.Lines {
		inTime := line.At < 0 || line.At >= w.from && line.At <= w.until
		if inTime && slices.Contains(gateways, line.Gateway) && strings.Contains(line.Text, promise.Text) {
			count++
		}
	}
	return count
}

func (r *Result) gatewaysOf(promise scenario.Expectation) []int {
	gateways, _ := scenario.ParseNumbers(promise.Edge, r.Gateways) // the reader has checked it
	return gateways
}
