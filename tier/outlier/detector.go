package outlier

import (
	"math"
	"slices"
	"sort"
	"strings"
)

// What makes a host an outlier among its peers; see [thresholdOf]. Times are in milliseconds.
const (
	// halfLife is the time in which what was seen counts half.
	halfLife = 2000
	// minExcessFailures is how many failures it takes beyond what the peers show, and deviations how many standard deviations of a
	// Poisson count besides; a host has to fail peerFactor times as often as its usual peer.
	minExcessFailures = 2.5
	deviations        = 4
	peerFactor        = 2
	// serverErrorWeight is what an answer counts that says that the host failed: it may be the request's own doing.
	serverErrorWeight = 0.5
	// minReporters have to have seen it lately. If all of them lie in one zone, the host has to be an outlier among at least
	// minZonePeers hosts of its own zone as well: a partition between two zones strikes these alike.
	minReporters = 2
	minZonePeers = 4
	// reportTTL is how long a reporter counts.
	reportTTL = 3000
	// maxReporters bounds the reporters whose newest window is remembered.
	maxReporters = 8192
)

// How long and how many hosts are ejected. Times are in milliseconds.
const (
	// maxEjectedShare is the share of a service's hosts that may be ejected at once; one at least always may, the last never.
	maxEjectedShare = 0.3
	// baseEjectionTime is how long a host is ejected, twice as long each time it is again, up to maxEjectionTime. It counts as again
	// within ejectionMemory of the end of the ejection before.
	baseEjectionTime int64 = 2000
	maxEjectionTime  int64 = 16000
	ejectionMemory   int64 = 30000
	// maxDoublings keeps the doubling from overflowing; maxEjectionTime is reached long before.
	maxDoublings = 8
)

// Ejection says that a host is kept out of use for a time.
type Ejection struct {
	Host       string
	DurationMS int64
}

// report is when a reporter named a host last.
type report struct {
	zone string // of the reporter
	at   int64
}

// hostRecord is what is known of a host that failed lately.
type hostRecord struct {
	failures     float64 // decayed
	updatedAt    int64
	reports      map[uint64]report // by reporter
	ejections    int               // in a row
	ejectedUntil int64
}

// Detector decides for all gateways. It has one owner and forgets everything when another takes over: ejections end by
// themselves.
type Detector struct {
	hosts   map[string]*hostRecord
	windows map[uint64]uint64 // the newest by reporter
}

// NewDetector makes a detector that has seen nothing.
func NewDetector() *Detector {
	return &Detector{hosts: map[string]*hostRecord{}, windows: map[uint64]uint64{}}
}

// Add adds a window, unless it was added before or tells of its reporter's own fault.
func (d *Detector) Add(w Window, now int64) {
	if w.Number <= d.windows[w.Reporter] || w.IsReporterFault() {
		return
	}
	if len(d.windows) >= maxReporters {
		clear(d.windows)
	}
	d.windows[w.Reporter] = w.Number
	for _, each := range w.Hosts {
		record := d.hosts[each.Host]
		if record == nil {
			record = &hostRecord{reports: map[uint64]report{}, updatedAt: now}
			d.hosts[each.Host] = record
		}
		record.decay(now)
		record.failures += each.weight()
		record.reports[w.Reporter] = report{w.Zone, now}
	}
}

// weight is what the failures of an observation count.
func (o Observation) weight() float64 {
	return float64(o.Total()) - (1-serverErrorWeight)*float64(o.Counts[ServerError])
}

func (r *hostRecord) decay(now int64) {
	r.failures *= math.Exp2(-float64(now-r.updatedAt) / halfLife)
	r.updatedAt = now
	for reporter, each := range r.reports {
		if now-each.at > reportTTL {
			delete(r.reports, reporter)
		}
	}
}

// Host is a host that may be ejected.
type Host struct {
	ID   string
	Zone string
}

// Fleet is the hosts of each service.
type Fleet map[string][]Host

// Decide returns the hosts that are to be ejected from now on, in order. Those that are already are not named again.
func (d *Detector) Decide(fleet Fleet, now int64) []Ejection {
	d.forget(fleet, now)
	var ejections []Ejection
	for _, hosts := range fleet {
		ejections = append(ejections, d.ejectFromService(hosts, now)...)
	}
	slices.SortFunc(ejections, func(a, b Ejection) int { return strings.Compare(a.Host, b.Host) })
	return ejections
}

// forget drops hosts that have departed or that nothing was heard of for long.
func (d *Detector) forget(fleet Fleet, now int64) {
	listed := map[string]bool{}
	for _, hosts := range fleet {
		for _, host := range hosts {
			listed[host.ID] = true
		}
	}
	for host, record := range d.hosts {
		record.decay(now)
		longWell := now-record.ejectedUntil > ejectionMemory && len(record.reports) == 0
		if !listed[host] || longWell {
			delete(d.hosts, host)
		}
	}
}

// ejectFromService ejects the outliers of one service, the worst first, as many as may be.
func (d *Detector) ejectFromService(hosts []Host, now int64) []Ejection {
	suspects := d.suspects(hosts, now)
	ejected := d.countEjected(hosts, now)
	var ejections []Ejection
	for _, host := range suspects {
		if ejected >= maxEjected(len(hosts)) {
			break
		}
		ejected++
		ejections = append(ejections, Ejection{host.ID, d.hosts[host.ID].eject(now)})
	}
	return ejections
}

// countEjected counts the hosts that are ejected now.
func (d *Detector) countEjected(hosts []Host, now int64) int {
	count := 0
	for _, host := range hosts {
		if record := d.hosts[host.ID]; record != nil && now < record.ejectedUntil {
			count++
		}
	}
	return count
}

// suspects lists the hosts of a service that are outliers and not ejected yet, the worst first.
func (d *Detector) suspects(hosts []Host, now int64) []Host {
	threshold := thresholdOf(d.failures(hosts))
	var found []Host
	for _, host := range hosts {
		record := d.hosts[host.ID]
		if record == nil || now < record.ejectedUntil || record.failures <= threshold || len(record.reports) < minReporters {
			continue
		}
		if zone, sole := record.soleZone(); sole && !d.standsOutInZone(host, zone, hosts) {
			continue
		}
		found = append(found, host)
	}
	sort.Slice(found, func(a, b int) bool {
		left, right := d.hosts[found[a].ID].failures, d.hosts[found[b].ID].failures
		if left != right {
			return left > right
		}
		return found[a].ID < found[b].ID
	})
	return found
}

// failures are those of each host.
func (d *Detector) failures(hosts []Host) []float64 {
	counts := make([]float64, len(hosts))
	for i, host := range hosts {
		if record := d.hosts[host.ID]; record != nil {
			counts[i] = record.failures
		}
	}
	return counts
}

// standsOutInZone tells whether a host that is reported from one zone alone is an outlier among the hosts of its own zone. With too
// few to compare, it has to lie in the zone of those who report it: no link between zones is in question then.
func (d *Detector) standsOutInZone(host Host, reportedFrom string, hosts []Host) bool {
	var peers []Host
	for _, each := range hosts {
		if each.Zone == host.Zone {
			peers = append(peers, each)
		}
	}
	if len(peers) < minZonePeers {
		return host.Zone == reportedFrom
	}
	return d.hosts[host.ID].failures > thresholdOf(d.failures(peers))
}

// maxEjected is how many of the hosts of a service may be ejected at once.
func maxEjected(hosts int) int {
	return min(max(1, int(maxEjectedShare*float64(hosts))), max(hosts-1, 0))
}

// thresholdOf is how many failures make a host an outlier among its peers. The usual peer is the mean of those that stay if as many
// as may be are ejected, so that many bad hosts don't hide each other; where all fail alike, none is an outlier.
func thresholdOf(counts []float64) float64 {
	sort.Float64s(counts)
	peers := counts[:len(counts)-maxEjected(len(counts))]
	usual := 0.0
	for _, count := range peers {
		usual += count / float64(len(peers))
	}
	return peerFactor*usual + deviations*math.Sqrt(usual) + minExcessFailures
}

// soleZone is the zone in which all lie that have reported the host lately, or false if there is no such zone.
func (r *hostRecord) soleZone() (zone string, sole bool) {
	first := true
	for _, each := range r.reports {
		if !first && each.zone != zone {
			return "", false
		}
		zone = each.zone
		first = false
	}
	return zone, true
}

// eject ejects the host and returns for how long.
func (r *hostRecord) eject(now int64) (duration int64) {
	if now-r.ejectedUntil > ejectionMemory {
		r.ejections = 0
	}
	duration = min(baseEjectionTime<<min(r.ejections, maxDoublings), maxEjectionTime)
	r.ejections++
	r.ejectedUntil = now + duration
	r.failures = 0 // what it does from now on counts
	clear(r.reports)
	return duration
}
