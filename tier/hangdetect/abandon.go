package hangdetect

import "time"

// Clients abandon a silent stream after the longest of minSilence, silenceTargets times the latency target of the first event, and
// silenceGaps times the longest gap between events that meets its target.
const (
	minSilence     = 2 * time.Second
	silenceTargets = 4
	silenceGaps    = 8
)

// ClientSilenceTimeout is how long a client waits for a stream that stays silent, within the time that it has remaining. Target is
// the latency target of the first event, gap that of the gaps between events.
func ClientSilenceTimeout(target, gap, remaining time.Duration) time.Duration {
	return min(remaining, max(minSilence, silenceTargets*target, silenceGaps*gap))
}
