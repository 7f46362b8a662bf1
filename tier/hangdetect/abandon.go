package hangdetect

import "time"

// A client abandons a silent stream after the maximum of minSilence, silenceTargets times the latency target of the first event, and
// silenceGaps times the latency target of the gaps between events.
const (
	minSilence     = 2 * time.Second
	silenceTargets = 4
	silenceGaps    = 8
)

// ClientSilenceTimeout returns how long a client waits for the next event of a silent stream. It is at most remaining, the time left
// until the client's deadline. The parameter target is the latency target of the first event, gap that of the gaps between events.
func ClientSilenceTimeout(target, gap, remaining time.Duration) time.Duration {
	return min(remaining, max(minSilence, silenceTargets*target, silenceGaps*gap))
}
