package overload

const (
	// initialLatency is the usual answer time before any is known, in seconds.
	initialLatency = 0.05
	// latencySmoothing is the weight of the newest answer in the usual time; one answer counts as at most four usual ones
	// and latencySlack seconds.
	latencySmoothing = 0.1
	latencySlack     = 0.02
	// lateFactor times the usual answer time is when an attempt counts as unanswered, minLate seconds at least. It keeps hosts
	// that are only slow from counting as silent: all of them would have to be four times as slow from one moment to the next.
	lateFactor = 4
	minLate    = 0.08
	// connectFailureWeight is the weight of an attempt whose connection did not come up: refused at once it costs little, and
	// may be for want of descriptors here.
	connectFailureWeight = 0.5
	// attemptMemory is for how long an attempt without an answer counts, in seconds.
	attemptMemory = 3.0
	// maxEvaluationGap is after how long without an evaluation this process counts as stopped meanwhile, in seconds.
	maxEvaluationGap = 0.3
)

// AttemptResult is how an attempt ended.
type AttemptResult int

const (
	// Answered means by its host, well or not.
	Answered AttemptResult = iota
	// Unanswered means given up, or its connection broke.
	Unanswered
	// ConnectFailed means that no connection came up.
	ConnectFailed
	// Inconclusive means cancelled here, or never begun: it says nothing of the host.
	Inconclusive
	// Rejected means that its host turned it away: it is there.
	Rejected
)

// attempt is one that got no answer, yet or at all.
type attempt struct {
	host      string
	startedAt float64
	ended     bool
	weight    float64 // of its silence
}

// attemptLog holds the attempts without an answer, in the order in which they began.
type attemptLog struct {
	unanswered     []attempt
	usualLatency   float64 // of answers of late
	lastAnsweredAt float64 // when the newest attempt that was answered began
	evaluatedAt    float64
}

func (l *attemptLog) start(now float64, host string) {
	if len(l.unanswered) == 0 {
		l.evaluatedAt = now
	}
	l.unanswered = append(l.unanswered, attempt{host: host, startedAt: now, weight: 1})
}

// find gives the index of an attempt that has not ended, -1 where it is no longer kept.
func (l *attemptLog) find(host string, startedAt float64) int {
	for i := range l.unanswered {
		a := &l.unanswered[i]
		if !a.ended && a.startedAt == startedAt && a.host == host {
			return i
		}
	}
	return -1
}

func (l *attemptLog) remove(i int) {
	l.unanswered = append(l.unanswered[:i], l.unanswered[i+1:]...)
}

func (l *attemptLog) observeLatency(latency float64) {
	capped := min(latency, lateFactor*l.usualLatency+latencySlack)
	l.usualLatency += latencySmoothing * (capped - l.usualLatency)
}

// inFlightSince counts the attempts begun at a time or later that have not ended.
func (l *attemptLog) inFlightSince(at float64) (n float64) {
	for i := range l.unanswered {
		if !l.unanswered[i].ended && l.unanswered[i].startedAt >= at {
			n++
		}
	}
	return n
}

// lateAfter is after how long an attempt counts as unanswered, in seconds.
func (l *attemptLog) lateAfter() float64 { return max(minLate, lateFactor*l.usualLatency) }

// silence gives the weight of the attempts begun from a time on that are unanswered, with no answer to anything begun since,
// and how many hosts they went to.
func (l *attemptLog) silence(now, from float64) (weight float64, hosts int) {
	seen := map[string]bool{}
	for i := range l.unanswered {
		a := &l.unanswered[i]
		if a.startedAt <= l.lastAnsweredAt || a.startedAt < from || !a.ended && now-a.startedAt <= l.lateAfter() {
			continue
		}
		weight += a.weight
		seen[a.host] = true
	}
	return weight, len(seen)
}

// prune forgets what no longer counts. Where this process was stopped nothing does: it could not hear the answers.
func (l *attemptLog) prune(now float64) {
	if l.evaluatedAt > 0 && now-l.evaluatedAt > maxEvaluationGap {
		l.unanswered = nil
	}
	l.evaluatedAt = now
	old := 0
	for old < len(l.unanswered) && l.unanswered[old].ended && now-l.unanswered[old].startedAt > attemptMemory {
		old++
	}
	l.unanswered = l.unanswered[old:]
}
