package simulation

import (
	"fmt"
	"strings"
)

// Trace records a line about an invocation or, if ref is empty, counts a line of an api gateway's log by its first word.
func (s *Simulation) Trace(from int, ref, text string) {
	if ref == "" {
		s.Results.Logs[firstWord(text)]++
	}
	if s.OnTrace != nil && ref != "" {
		s.OnTrace(from, ref, text)
	}
	if s.tracedRef != "" && ref == s.tracedRef {
		s.traceLines = append(s.traceLines, fmt.Sprintf("%10.4f  api gateway %d: %s", s.Queue.Now(), from, text))
	}
}

// firstWord returns the first word of a log line without trailing colons.
func firstWord(text string) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return ""
	}
	return strings.TrimRight(words[0], ":")
}

// TraceLines returns the trace lines of the invocation given to WithInvocationTrace, in order of time.
func (s *Simulation) TraceLines() []string { return s.traceLines }
