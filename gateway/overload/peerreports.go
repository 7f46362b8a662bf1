package overload

const (
	// quorum is how many peers must report the same, and reportMemory for how long a report counts, in seconds.
	quorum       = 3
	reportMemory = 2.0
	// fleetReportRate is how many messages a second all gateways together say that an outage goes on.
	fleetReportRate = 6.0
	// sampledSenders is how many of the fleet speak, on average, when all have the same to say.
	sampledSenders = 24.0
	// distrustFor is for how long a peer is not believed whose report of an answer turned out wrong, in seconds.
	distrustFor = 10.0
)

// The messages between gateways. Each begins with messagePrefix; behind it stands one of the two reports on all hosts, or
// words on single ones (hostreports.go).
const (
	messagePrefix   = '~'
	reportSilent    = "s"
	reportAnswering = "l"
)

// peerReports is what peers say of all hosts together, by the peer's number.
type peerReports struct {
	silentAt        map[int]float64
	answeringAt     map[int]float64
	distrustedUntil map[int]float64
	asked           bool    // peers were asked for what they see
	unansweredAt    float64 // a peer asked, and no answer has come here since to what began later; 0: none did
}

func newPeerReports() peerReports {
	return peerReports{silentAt: map[int]float64{}, answeringAt: map[int]float64{}, distrustedUntil: map[int]float64{}}
}

// counts gives how many peers see the hosts silent, and how many have answers.
func (r *peerReports) counts(now float64) (silent, answering int) {
	return countWithin(r.silentAt, now, reportMemory), countWithin(r.answeringAt, now, reportMemory)
}

func (r *peerReports) recordSilent(now float64, peer int) {
	r.silentAt[peer] = now
	if r.unansweredAt == 0 {
		r.unansweredAt = now
	}
	delete(r.answeringAt, peer)
}

func (r *peerReports) recordAnswering(now float64, peer int) {
	r.answeringAt[peer] = now
	delete(r.silentAt, peer)
}

// takeContradiction says that an answered attempt began after a peer had reported silence, once for each such report.
func (r *peerReports) takeContradiction(startedAt float64) bool {
	if r.unansweredAt <= 0 || startedAt < r.unansweredAt {
		return false
	}
	r.unansweredAt = 0
	return true
}

func (r *peerReports) distrust(now float64, peer int) { r.distrustedUntil[peer] = now + distrustFor }

func (r *peerReports) trusts(now float64, peer int) bool { return now >= r.distrustedUntil[peer] }

// countWithin counts the reports that are not older than some seconds. The order of the map does not show.
func countWithin(reports map[int]float64, now, seconds float64) (n int) {
	for _, at := range reports {
		if now-at < seconds {
			n++
		}
	}
	return n
}

// outbox is what the next [Controller.Flush] gives away.
type outbox struct {
	messages     []string
	logLines     []string
	nextReportAt float64 // open: when it is said again that the outage goes on
}

// Receive brings a peer's message. It returns false for one that is not of this package.
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
		c.receiveHostWords(now, from, text[1:])
	}
	return true
}

func (c *Controller) send(report string) {
	if c.messageRate > 0 {
		c.outbox.messages = append(c.outbox.messages, string(messagePrefix)+report)
	}
}

// sendSampled sends what many gateways have to say at the same moment: some of them do.
func (c *Controller) sendSampled(report string) {
	if c.sampled() {
		c.send(report)
	}
}

// sampled draws whether this gateway speaks where all have the same to say.
func (c *Controller) sampled() bool { return c.random.Float64() < sampledSenders/c.liveGateways }
