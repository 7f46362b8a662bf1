package fleet

import "fmt"

const (
	// maxTraceLines are kept of one invocation.
	maxTraceLines = 64
	// forgetTraceAfter is how long a trace is kept unless its invocation broke a rule, in seconds.
	forgetTraceAfter = 10
)

// traces are what happened to invocations, by ref.
type traces struct {
	recent map[string][]string
	broken map[string][]string // of those with which something was wrong
}

func newTraces() *traces {
	return &traces{recent: map[string][]string{}, broken: map[string][]string{}}
}

// of is the trace of an invocation.
func (t *traces) of(ref string) []string {
	if lines := t.broken[ref]; len(lines) > 0 {
		return lines
	}
	return t.recent[ref]
}

// TraceInvocation keeps what happens to each invocation, for as long as its story may be asked for.
func (f *injector) TraceInvocation(gateway int, ref, text string) {
	t := f.traces
	now := 0.0
	if f.world != nil {
		now = f.world.Queue.Now()
		if len(t.recent[ref]) == 0 {
			f.world.Queue.ScheduleAfter(forgetTraceAfter, func() { delete(t.recent, ref) })
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
			t.broken[ref] = t.recent[ref]
		}
	}
}
