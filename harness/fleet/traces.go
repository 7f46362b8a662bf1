package fleet

import "fmt"

const (
	// maxTraceLines is the maximum number of lines kept for one invocation.
	maxTraceLines = 64
	// traceRetention is how long a trace is kept, in seconds, unless its invocation violates a rule.
	traceRetention = 10
)

// traces hold what happened to invocations, by ref.
type traces struct {
	recent    map[string][]string
	violating map[string][]string // of invocations that violate a rule
}

func newTraces() *traces {
	return &traces{recent: map[string][]string{}, violating: map[string][]string{}}
}

// linesOf returns the trace of an invocation.
func (t *traces) linesOf(ref string) []string {
	if lines := t.violating[ref]; len(lines) > 0 {
		return lines
	}
	return t.recent[ref]
}

// TraceInvocation adds a line to the trace of an invocation. The trace is kept for as long as a violation may be found.
func (f *injector) TraceInvocation(gateway int, ref, text string) {
	t := f.traces
	now := 0.0
	if f.world != nil {
		now = f.world.Queue.Now()
		if len(t.recent[ref]) == 0 {
			f.world.Queue.ScheduleAfter(traceRetention, func() { delete(t.recent, ref) })
		}
	}
	if len(t.recent[ref]) < maxTraceLines {
		t.recent[ref] = append(t.recent[ref], fmt.Sprintf("%9.4f s  api gateway %d: %s", now, gateway, text))
	}
	if f.world == nil || ref == "" {
		return
	}
	for _, violation := range f.world.Oracle.Violations {
		if violation.Ref == ref {
			t.violating[ref] = t.recent[ref]
		}
	}
}
