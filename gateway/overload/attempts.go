package overload

const (
	// initialLatency is the mean latency assumed before the first answer, in seconds.
	initialLatency = 0.05
	// latencySmoothing is the weight of a new latency in the mean. A new latency is capped at lateFactor times the mean plus
	// latencySlack seconds.
	latencySmoothing = 0.1
	latencySlack     = 0.02
	// An attempt counts as unanswered after lateFactor times the mean latency, and after at least minLate seconds. The
	// factor keeps slow hosts from counting as silent: all of them would have to become four times as slow at once.
	lateFactor = 4
	minLate    = 0.08
	// connectFailureWeight is the weight of an attempt whose connection failed. It is below 1 because an immediate refusal
	// costs little and may be caused by a lack of file descriptors in this process.
	connectFailureWeight = 0.5
	// attemptMemory is how long an unanswered attempt counts after its start, in seconds.
	attemptMemory = 3.0
	// maxEvaluationGap is the time between two evaluations, in seconds, above which this process is assumed to have been
	// paused in between.
	maxEvaluationGap = 0.3
)

// AttemptResult is how an attempt ended.
type AttemptResult int

const (
	// Answered means that the host answered, with success or with an error.
	Answered AttemptResult = iota
	// Unanswered means that the attempt timed out or its connection broke.
	Unanswered
	// ConnectFailed means that no connection could be established.
	ConnectFailed
	// Inconclusive means that this gateway cancelled the attempt or never sent it, so that it gives no evidence about the host.
	Inconclusive
	// Rejected means that the host refused the request, which shows that the host is reachable.
	Rejected
)

// attempt is an attempt that is in flight or ended without an answer.
type attempt struct {
	host      string
	startedAt float64
	ended     bool
	weight    float64 // contribution to silence if unanswered
}

// attemptLog holds the attempts without an answer, in the order of their start.
type attemptLog struct {
	unanswered     []attempt
	meanLatency    float64 // moving average of the latencies of answers, in seconds
	lastAnsweredAt float64 // start of the most recently started attempt that was answered
	evaluatedAt    float64
}

func (l *attemptLog) start(now float64, host string) {
	if len(l.unanswered) == 0 {
		l.evaluatedAt = now
	}
	l.unanswered = append(l.unanswered, attempt{host: host, startedAt: now, weight: 1})
}

// find returns the index of an attempt that has not ended, or -1 if it is no longer in the log.
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
	capped := min(latency, lateFactor*l.meanLatency+latencySlack)
	l.meanLatency += latencySmoothing * (capped - l.meanLatency)
}

// inFlightSince returns the number of attempts in flight that were started at or after the given time.
func (l *attemptLog) inFlightSince(at float64) (n float64) {
	for i := range l.unanswered {
		if !l.unanswered[i].ended && l.unanswered[i].startedAt >= at {
			n++
		}
	}
	return n
}

// lateAfter returns the time in flight after which an attempt counts as unanswered, in seconds.
func (l *attemptLog) lateAfter() float64 { return max(minLate, lateFactor*l.meanLatency) }

// silentWeight returns the total weight of the unanswered attempts started at or after from, and the number of hosts they were
// sent to. Attempts that started before the most recently started answered attempt do not count.
func (l *attemptLog) silentWeight(now, from float64) (weight float64, hosts int) {
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

// prune removes attempts that no longer count. If this process was paused it removes all of them, because answers could
// not be received meanwhile.
func (l *attemptLog) prune(now float64) {
	if l.evaluatedAt > 0 && now-l.evaluatedAt > maxEvaluationGap {
		l.unanswered = nil
	}
	l.evaluatedAt = now
	expired := 0
	for expired < len(l.unanswered) && l.unanswered[expired].ended && now-l.unanswered[expired].startedAt > attemptMemory {
		expired++
	}
	l.unanswered = l.unanswered[expired:]
}
