package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"otterseam/sim/metrics"
	"otterseam/sim/scenario"
)

// eps prevents divisions by zero.
const eps = 1e-9

// checkExpectations checks the expectations of the script, which calls them promises. onFailure is called for each that is not met.
func (r *Result) checkExpectations(onFailure func(text string)) {
	for _, expectation := range r.Script.Expectations {
		value, scope := r.figure(expectation)
		text := fmt.Sprintf("%s%s: %.4g", expectation.Kind, scope, value)
		if value < expectation.Min.Float() || value > expectation.Max.Float() || math.IsNaN(value) {
			onFailure(fmt.Sprintf("promised: %s, from %g to %g wanted", text, expectation.Min.Float(), expectation.Max.Float()))
			continue
		}
		r.Kept = append(r.Kept, text)
	}
}

// window is a period of the scenario, in seconds, and what was measured in it.
type window struct {
	from, until float64
	share       metrics.Share
	attempts    float64
	dials       float64
	calls       float64
}

func (r *Result) window(expectation scenario.Expectation) window {
	w := window{from: expectation.From.Float(), until: min(expectation.Until.Float(), r.Script.Length.Float())}
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

// perSecond converts a count in the window to a rate per second.
func (w *window) perSecond(count float64) float64 { return count / max(eps, w.until-w.from) }

// requestShare returns a value as a share of the value that was requested in the window.
func (w *window) requestShare(value float64) float64 { return value / max(eps, w.share.Requested) }

// describe returns the window as text, or "" for the whole scenario.
func (w *window) describe(length float64) string {
	if w.from > 0 || w.until < length {
		return fmt.Sprintf(" in seconds %g to %g", w.from, w.until)
	}
	return ""
}

// figure returns the value that an expectation is about, and a text that tells what it covers.
func (r *Result) figure(expectation scenario.Expectation) (value float64, scope string) {
	w := r.window(expectation)
	scope = w.describe(r.Script.Length.Float())
	if value, ok := w.figure(expectation.Kind); ok {
		return value, scope
	}
	switch expectation.Kind {
	case "tries":
		return r.Figures.Invocations, ""
	case "mail":
		return r.Datagrams / r.Script.Length.Float() / float64(r.Gateways), ""
	case "struck":
		return float64(r.FaultsApplied), ""
	case "runs":
		return r.countRunning(expectation), ""
	case "log":
		return r.countLines(expectation, &w), fmt.Sprintf(" %q%s", expectation.Text, scope)
	}
	return r.Audit.figure(expectation.Kind), ""
}

// figure returns the value of a figure of the traffic. ok is false for other figures.
func (w *window) figure(kind string) (value float64, ok bool) {
	switch kind {
	case "served":
		return w.requestShare(w.share.Served), true
	case "served-value":
		return w.perSecond(w.share.ServedOfSent), true
	case "throttled":
		return w.requestShare(w.share.ThrottledWithRoom + w.share.ThrottledWithoutRoom), true
	case "errored":
		return w.requestShare(w.share.Errored + w.share.Lost), true
	case "beyond":
		return w.share.BeyondQuota / max(eps, w.share.FirstSent), true
	case "deliveries":
		return w.perSecond(w.attempts), true
	case "dials":
		return w.perSecond(w.dials), true
	case "calls":
		return w.perSecond(w.calls), true
	}
	return 0, false
}

// figure returns the value of a figure of the quota store, or 0 without a quota store.
func (a *Audit) figure(kind string) float64 {
	if a == nil {
		return 0
	}
	switch kind {
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

// countRunning returns how many of the api gateways of an expectation run at the end.
func (r *Result) countRunning(expectation scenario.Expectation) float64 {
	count := 0.0
	for _, gateway := range r.gatewaysOf(expectation) {
		if r.Running[gateway] {
			count++
		}
	}
	return count
}

// countLines returns how many log lines of the api gateways of an expectation contain its text. It counts lines in the window and lines
// that were read after the end.
func (r *Result) countLines(expectation scenario.Expectation, w *window) float64 {
	gateways := r.gatewaysOf(expectation)
	count := 0.0
	for _, line := range r.Lines {
		inTime := line.At < 0 || line.At >= w.from && line.At <= w.until
		if inTime && slices.Contains(gateways, line.Gateway) && strings.Contains(line.Text, expectation.Text) {
			count++
		}
	}
	return count
}

func (r *Result) gatewaysOf(expectation scenario.Expectation) []int {
	gateways, _ := scenario.ParseNumbers(expectation.Gateways, r.Gateways) // checked when the script was read
	return gateways
}
