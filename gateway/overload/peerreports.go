package overload

const (
	// quorum is the number of peers that must report the same. reportMemory is how long a report counts, in seconds.
	quorum       = 3
	reportMemory = 2.0
	// fleetReportRate is the number of messages per second by which all gateways together report that an outage continues.
	fleetReportRate = 6.0
	// sampledSenders is the mean number of gateways that send when all have the same to report.
	sampledSenders = 24.0
	// distrustFor is how long a peer's reports of answers are ignored after one was wrong, in seconds.
	distrustFor = 10.0
)

// The messages between gateways. Each is messagePrefix followed by one of the two reports about all hosts, or by entries
// about single hosts (hostreports.go).
const (
	messagePrefix   = '~'
	reportSilent    = "s"
	reportAnswering = "l"
)

// peerReports holds the peers' reports about all hosts. The maps are keyed by the peer's number.
type peerReports struct {
	silentAt           map[int]float64
	answeringAt        map[int]float64
	distrustedUntil    map[int]float64
	queried            bool    // this gateway has asked its peers for their observations
	unrefutedSilenceAt float64 // time of a peer's silence report that no answer to a later attempt has contradicted; 0: none
}

func newPeerReports() peerReports {
	return peerReports{silentAt: map[int]float64{}, answeringAt: map[int]float64{}, distrustedUntil: map[int]float64{}}
}

// counts returns the numbers of peers that recently reported all hosts silent and that recently reported an answer.
func (r *peerReports) counts(now float64) (silent, answering int) {
	return countWithin(r.silentAt, now, reportMemory), countWithin(r.answeringAt, now, reportMemory)
}

func (r *peerReports) recordSilent(now float64, peer int) {
	r.silentAt[peer] = now
	if r.unrefutedSilenceAt == 0 {
		r.unrefutedSilenceAt = now
	}
	delete(r.answeringAt, peer)
}

func (r *peerReports) recordAnswering(now float64, peer int) {
	r.answeringAt[peer] = now
	delete(r.silentAt, peer)
}

// takeContradiction reports whether an answered attempt, started at startedAt, contradicts a peer's silence report because it
// started later. It then clears the report.
func (r *peerReports) takeContradiction(startedAt float64) bool {
	if r.unrefutedSilenceAt <= 0 || startedAt < r.unrefutedSilenceAt {
		return false
	}
	r.unrefutedSilenceAt = 0
	return true
}

func (r *peerReports) distrust(now float64, peer int) { r.distrustedUntil[peer] = now + distrustFor }

func (r *peerReports) trusts(now float64, peer int) bool { return now >= r.distrustedUntil[peer] }

// countWithin returns the number of reports younger than the given seconds. The result does not depend on the iteration
// order.
func countWithin(reports map[int]float64, now, seconds float64) (n int) {
	for _, at := range reports {
		if now-at < seconds {
			n++
		}
	}
	return n
}

// outbox holds the messages and log lines that the next [Controller.Flush] emits.
type outbox struct {
	messages     []string
	logLines     []string
	nextReportAt float64 // open: time of the next report that the outage continues
}

// Receive processes a peer's message. It returns false for a message that does not belong to this package.
func (c *Controller) Receive(now float64, from int, text string) bool {
	if len(text) < 2 || text[0] != messagePrefix {
		return false
	}
	if c == nil || from < 0 || float64(from) >= c.gateways {
		return true
	}
	switch text[1:] {
	case reportSilent:
		c.peers.recordSilent(now, from)
	case reportAnswering:
		c.peers.recordAnswering(now, from)
		if c.breaker.state == breakerOpen && c.peers.trusts(now, from) {
			c.halfOpenByReport(now, from)
		}
	default:
		c.receiveHostEntries(now, from, text[1:])
	}
	return true
}

func (c *Controller) send(report string) {
	if c.messageRate > 0 {
		c.outbox.messages = append(c.outbox.messages, string(messagePrefix)+report)
	}
}

// sendSampled sends a report that many gateways have at the same moment. Only a random sample of them sends it.
func (c *Controller) sendSampled(report string) {
	if c.sampled() {
		c.send(report)
	}
}

// sampled draws whether this gateway is in the sample that sends a report which all gateways have.
func (c *Controller) sampled() bool { return c.random.Float64() < sampledSenders/c.liveGateways }
