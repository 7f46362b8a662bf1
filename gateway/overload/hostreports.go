package overload

import (
	"math"
	"slices"
	"strings"
)

const (
	// ejectedProbeRate is how many probes a second all gateways together make of one ejected host.
	ejectedProbeRate = 4.0
	// hostReportMemory is for how long a report on a host counts, in seconds.
	hostReportMemory = 30.0
	// repeatChance is the part of failed probes after which an ejection is reported again.
	repeatChance = 0.1
	// flapWindow is within how many seconds a host ejected again was not back, so that the peer whose report brought it back is
	// distrusted.
	flapWindow = 5.0
	// hostMessageInterval is the least time between two messages on hosts, in seconds; maxWordsPerMessage how many hosts one
	// names, within maxHostMessage bytes.
	hostMessageInterval = 0.5
	maxWordsPerMessage  = 12
	maxHostMessage      = 250
	maxQueuedWords      = 4 * maxWordsPerMessage
	// reportedHostsFactor times the listed hosts, minReportedHosts at least, is of how many reports are kept.
	reportedHostsFactor = 4
	minReportedHosts    = 8
)

// The first byte of a word on a host; its address follows. A message holds words with spaces between.
const (
	wordEjected   = '-'
	wordAnswers   = '=' // it answers here, though a peer has ejected it
	wordRecovered = '+' // it answers here, where it was ejected
)

// hostReport is what peers said of a host, by the peer's number.
type hostReport struct {
	ejectedAt   map[int]float64
	answeringAt map[int]float64
	// questionedAt is when a peer ejected it, with no answer here since to what began later; 0: none.
	questionedAt float64
	// recoveredAt is when the peer recoveredBy said that it answers again, 0 once that was taken.
	recoveredAt float64
	recoveredBy int
	// takenAt is when the report of takenFrom was believed here.
	takenAt   float64
	takenFrom int
}

// hostReports is what is said of single hosts.
type hostReports struct {
	byHost   map[string]*hostReport
	words    []string // for the next message
	sendAt   float64  // no message before
	forgetAt float64
}

func (r *hostReports) getOrCreate(host string) *hostReport {
	report := r.byHost[host]
	if report == nil {
		report = &hostReport{ejectedAt: map[int]float64{}, answeringAt: map[int]float64{}, takenAt: math.Inf(-1)}
		r.byHost[host] = report
	}
	return report
}

// queue has a word on a host go with the next message.
func (r *hostReports) queue(kind byte, host string) {
	word := string(kind) + host
	if !slices.Contains(r.words, word) && len(r.words) < maxQueuedWords {
		r.words = append(r.words, word)
	}
}

// withdraw takes an ejection back that has not been sent yet and is no longer so.
func (r *hostReports) withdraw(host string) {
	r.words = slices.DeleteFunc(r.words, func(word string) bool {
		return word[0] == wordEjected && word[1:] == host
	})
}

// message gives the next message, "" where there is none or it is too early.
func (r *hostReports) message(now float64) string {
	if len(r.words) == 0 || now < r.sendAt {
		return ""
	}
	var text strings.Builder
	text.WriteByte(messagePrefix)
	n := 0
	for n < len(r.words) && n < maxWordsPerMessage && text.Len()+len(r.words[n])+1 <= maxHostMessage {
		text.WriteString(r.words[n])
		text.WriteByte(' ')
		n++
	}
	r.words = append(r.words[:0], r.words[max(1, n):]...) // a word that fits in no message is dropped
	r.sendAt = now + hostMessageInterval
	if n == 0 {
		return ""
	}
	return strings.TrimSuffix(text.String(), " ")
}

// forget drops hosts of which nothing was said for long. The order of the map does not show.
func (r *hostReports) forget(now float64) {
	if now < r.forgetAt {
		return
	}
	r.forgetAt = now + hostReportMemory
	for host, report := range r.byHost {
		if countWithin(report.ejectedAt, now, hostReportMemory)+countWithin(report.answeringAt, now, hostReportMemory) == 0 {
			delete(r.byHost, host)
		}
	}
}

// exchangesHostReports says whether gateways tell each other of single hosts at all.
func (c *Controller) exchangesHostReports() bool {
	return c != nil && c.messageRate > 0 && c.gateways > 1
}

// HostEjected is told that a host was ejected here, or that its probe failed: again. It returns false where peers are not
// told of it by this package.
func (c *Controller) HostEjected(now float64, host string, again bool) bool {
	if !c.exchangesHostReports() {
		return false
	}
	report := c.hosts.getOrCreate(host)
	if now-report.takenAt < flapWindow { // the peer's report was wrong
		c.peers.distrust(now, report.takenFrom)
	}
	if !again && c.sampled() || again && c.random.Float64() < repeatChance {
		c.hosts.queue(wordEjected, host)
	}
	return true
}

// HostAnswered is told that a host answered an attempt that began at startedAt; ejected: it is ejected here. It returns false
// where peers are not told of it by this package.
func (c *Controller) HostAnswered(host string, startedAt float64, ejected bool) bool {
	if !c.exchangesHostReports() {
		return false
	}
	report := c.hosts.byHost[host]
	switch {
	case ejected:
		c.hosts.withdraw(host)
		if report != nil {
			clear(report.ejectedAt)
		}
		c.hosts.queue(wordRecovered, host)
	case report != nil && report.questionedAt > 0 && startedAt >= report.questionedAt:
		report.questionedAt = 0
		if c.sampled() {
			c.hosts.queue(wordAnswers, host)
		}
	}
	return true
}

// EjectionConfirmed says that enough peers have ejected a host too, by what they saw themselves.
func (c *Controller) EjectionConfirmed(now float64, host string) bool {
	if !c.exchangesHostReports() || c.hosts.byHost[host] == nil {
		return false
	}
	report := c.hosts.byHost[host]
	ejected := countWithin(report.ejectedAt, now, hostReportMemory)
	return ejected >= quorum && ejected > 2*countWithin(report.answeringAt, now, reportMemory)
}

// ProbeInterval is the time until the next probe of an ejected host, interval what one gateway alone would wait: longer where
// all have ejected it, so that all together probe it as often at any number of them. One that has ejected it alone may be
// wrong, and waits for itself.
func (c *Controller) ProbeInterval(now float64, host string, interval float64) float64 {
	if interval == 0 || !c.EjectionConfirmed(now, host) {
		return interval
	}
	return max(interval, 2*c.liveGateways/ejectedProbeRate*c.random.Float64()) // from the first moment on some are due
}

// TakeRecovery says that a host answers again by a peer's report, once for each report.
func (c *Controller) TakeRecovery(now float64, host string) bool {
	if !c.exchangesHostReports() || c.hosts.byHost[host] == nil {
		return false
	}
	report := c.hosts.byHost[host]
	if report.recoveredAt == 0 || !c.peers.trusts(now, report.recoveredBy) {
		return false
	}
	recent := now-report.recoveredAt < reportMemory
	report.recoveredAt = 0
	if recent {
		report.takenAt = now
		report.takenFrom = report.recoveredBy
	}
	return recent
}

// receiveHostWords takes a peer's message on hosts.
func (c *Controller) receiveHostWords(now float64, from int, text string) {
	for _, word := range strings.Fields(text) {
		if len(word) < 2 {
			continue
		}
		host := word[1:]
		if c.hosts.byHost[host] == nil && len(c.hosts.byHost) >= reportedHostsFactor*max(minReportedHosts, c.listedHosts) {
			continue // names that nobody knows fill no memory
		}
		report := c.hosts.getOrCreate(host)
		switch word[0] {
		case wordEjected:
			report.ejectedAt[from] = now
			delete(report.answeringAt, from)
			if report.questionedAt == 0 {
				report.questionedAt = now
			}
		case wordAnswers:
			report.answeringAt[from] = now
			delete(report.ejectedAt, from)
		case wordRecovered:
			report.answeringAt[from] = now
			clear(report.ejectedAt) // those that had ejected it hear this too
			c.hosts.withdraw(host)
			report.recoveredAt = now
			report.recoveredBy = from
		}
	}
}
