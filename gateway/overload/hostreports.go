package overload

import (
	"math"
	"slices"
	"strings"
)

const (
	// ejectedProbeRate is the target for the probes per second that all gateways together send to one ejected host.
	ejectedProbeRate = 4.0
	// hostReportMemory is how long a report about a host counts, in seconds.
	hostReportMemory = 30.0
	// repeatChance is the probability with which a failed probe reports the ejection again.
	repeatChance = 0.1
	// flapWindow is the time after a readmission by a peer's report, in seconds, within which another ejection shows that the
	// report was wrong, so that its sender is distrusted.
	flapWindow = 5.0
	// hostMessageInterval is the shortest time between two messages about hosts, in seconds. A message has at most
	// maxEntriesPerMessage entries and maxHostMessageBytes bytes.
	hostMessageInterval  = 0.5
	maxEntriesPerMessage = 12
	maxHostMessageBytes  = 250
	maxQueuedEntries     = 4 * maxEntriesPerMessage
	// Reports are kept for at most reportedHostsFactor times the number of listed hosts, where at least minReportedHosts are
	// taken as listed.
	reportedHostsFactor = 4
	minReportedHosts    = 8
)

// Kinds of message entries. An entry is its kind's byte followed by the host's address. A message holds entries separated by
// spaces.
const (
	entryEjected   = '-'
	entryAnswers   = '=' // the host answers the sender, although a peer has ejected it
	entryRecovered = '+' // the host answers the sender, which had ejected it
)

// hostReport holds the peers' reports about one host. The maps are keyed by the peer's number.
type hostReport struct {
	ejectedAt   map[int]float64
	answeringAt map[int]float64
	// unrefutedEjectionAt is the time of a peer's ejection report that no answer to this gateway has contradicted yet; 0: none.
	// Only an answer to an attempt started since then contradicts it.
	unrefutedEjectionAt float64
	// recoveredAt is when the peer recoveredBy reported that the host answers again; 0: no such report is pending.
	recoveredAt float64
	recoveredBy int
	// acceptedAt is when this gateway last acted on a recovery report, sent by the peer acceptedFrom.
	acceptedAt   float64
	acceptedFrom int
}

// hostReports holds the reports about single hosts and the entries to be sent about them.
type hostReports struct {
	byHost   map[string]*hostReport
	entries  []string // queued for the next messages
	sendAt   float64  // earliest time of the next message
	forgetAt float64  // time of the next removal of old reports
}

func (r *hostReports) getOrCreate(host string) *hostReport {
	report := r.byHost[host]
	if report == nil {
		report = &hostReport{ejectedAt: map[int]float64{}, answeringAt: map[int]float64{}, acceptedAt: math.Inf(-1)}
		r.byHost[host] = report
	}
	return report
}

// queue adds an entry about a host to those of the next messages.
func (r *hostReports) queue(kind byte, host string) {
	entry := string(kind) + host
	if !slices.Contains(r.entries, entry) && len(r.entries) < maxQueuedEntries {
		r.entries = append(r.entries, entry)
	}
}

// withdraw removes the queued ejection entry of a host that is no longer ejected.
func (r *hostReports) withdraw(host string) {
	r.entries = slices.DeleteFunc(r.entries, func(entry string) bool {
		return entry[0] == entryEjected && entry[1:] == host
	})
}

// message returns the next message, or "" if there is none or it is not due yet.
func (r *hostReports) message(now float64) string {
	if len(r.entries) == 0 || now < r.sendAt {
		return ""
	}
	var text strings.Builder
	text.WriteByte(messagePrefix)
	n := 0
	for n < len(r.entries) && n < maxEntriesPerMessage && text.Len()+len(r.entries[n])+1 <= maxHostMessageBytes {
		text.WriteString(r.entries[n])
		text.WriteByte(' ')
		n++
	}
	r.entries = append(r.entries[:0], r.entries[max(1, n):]...) // an entry that is too long for any message is dropped
	r.sendAt = now + hostMessageInterval
	if n == 0 {
		return ""
	}
	return strings.TrimSuffix(text.String(), " ")
}

// forget removes the hosts without a report within hostReportMemory. The result does not depend on the iteration order.
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

// exchangesHostReports reports whether gateways exchange reports about single hosts.
func (c *Controller) exchangesHostReports() bool {
	return c != nil && c.messageRate > 0 && c.gateways > 1
}

// HostEjected records that this gateway ejected a host or, if again is set, that a probe of an ejected host failed. It
// returns false if this package does not exchange reports about hosts with peers.
func (c *Controller) HostEjected(now float64, host string, again bool) bool {
	if !c.exchangesHostReports() {
		return false
	}
	report := c.hosts.getOrCreate(host)
	if now-report.acceptedAt < flapWindow { // the peer's recovery report was wrong
		c.peers.distrust(now, report.acceptedFrom)
	}
	if !again && c.sampled() || again && c.random.Float64() < repeatChance {
		c.hosts.queue(entryEjected, host)
	}
	return true
}

// HostAnswered records that a host answered an attempt that was started at startedAt. ejected is whether this gateway has
// ejected the host. HostAnswered returns false if this package does not exchange reports about hosts with peers.
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
		c.hosts.queue(entryRecovered, host)
	case report != nil && report.unrefutedEjectionAt > 0 && startedAt >= report.unrefutedEjectionAt:
		report.unrefutedEjectionAt = 0
		if c.sampled() {
			c.hosts.queue(entryAnswers, host)
		}
	}
	return true
}

// EjectionConfirmed reports whether enough peers have ejected a host by their own observations.
func (c *Controller) EjectionConfirmed(now float64, host string) bool {
	if !c.exchangesHostReports() || c.hosts.byHost[host] == nil {
		return false
	}
	report := c.hosts.byHost[host]
	ejected := countWithin(report.ejectedAt, now, hostReportMemory)
	return ejected >= quorum && ejected > 2*countWithin(report.answeringAt, now, reportMemory)
}

// ProbeInterval returns the time until the next probe of an ejected host. interval is the one that a single gateway would
// use. If peers confirm the ejection the result is longer, so that the probe rate of the whole fleet does not depend on the
// number of gateways. A gateway whose ejection is not confirmed may be wrong and uses interval itself.
func (c *Controller) ProbeInterval(now float64, host string, interval float64) float64 {
	if interval == 0 || !c.EjectionConfirmed(now, host) {
		return interval
	}
	return max(interval, 2*c.liveGateways/ejectedProbeRate*c.random.Float64()) // from 0: some probe is always due soon
}

// TakeRecovery reports whether a trusted peer recently reported that a host answers again. It consumes the report.
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
		report.acceptedAt = now
		report.acceptedFrom = report.recoveredBy
	}
	return recent
}

// receiveHostEntries records the entries of a peer's message about hosts.
func (c *Controller) receiveHostEntries(now float64, from int, text string) {
	for _, entry := range strings.Fields(text) {
		if len(entry) < 2 {
			continue
		}
		host := entry[1:]
		if c.hosts.byHost[host] == nil && len(c.hosts.byHost) >= reportedHostsFactor*max(minReportedHosts, c.listedHosts) {
			continue // bounds the memory that reports about unknown hosts use
		}
		report := c.hosts.getOrCreate(host)
		switch entry[0] {
		case entryEjected:
			report.ejectedAt[from] = now
			delete(report.answeringAt, from)
			if report.unrefutedEjectionAt == 0 {
				report.unrefutedEjectionAt = now
			}
		case entryAnswers:
			report.answeringAt[from] = now
			delete(report.ejectedAt, from)
		case entryRecovered:
			report.answeringAt[from] = now
			clear(report.ejectedAt) // peers that had ejected the host receive this report too
			c.hosts.withdraw(host)
			report.recoveredAt = now
			report.recoveredBy = from
		}
	}
}
