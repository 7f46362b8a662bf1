package hangdetect

import "time"

// A client abandons a silent stream after the maximum of minSilence, firstEventTargetFactor times the latency target of the first
// event, and gapTargetFactor times the latency target of the gaps between events.
const (
	minSilence             = 2 * time.Second
	firstEventTargetFactor = 4
	gapTargetFactor        = 8
)

// ClientSilenceTimeout returns how long a client waits for the next event of a silent stream. It is at most remaining, the time left
// until the client's deadline. The parameter target is the latency target of the first event, gap that of the gaps between events.
func ClientSilenceTimeout(target, gap, remaining time.Duration) time.Duration {
	return min(remaining, max(minSilence, firstEventTargetFactor*target, gapTargetFactor*gap))
}
