package outlier

import (
	"math"
	"slices"
	"sort"
	"strings"
)

// Parameters that decide which hosts are outliers among their peers; see [thresholdOf]. Times are in milliseconds.
const (
	// halfLife is the half-life of the failure count of a host.
	halfLife = 2000
	// To be an outlier, a host must fail more than peerFactor times as often as its average peer, plus deviations standard
	// deviations of a Poisson-distributed count, plus minExcessFailures failures.
	minExcessFailures = 2.5
	deviations        = 4
	peerFactor        = 2
	// serverErrorWeight is the weight of a response that reports a server error. It is below 1 because the request itself may be the
	// cause.
	serverErrorWeight = 0.5
	// minReporters is how many reporters must have seen the host fail recently. If all of them are in one zone, the host must also be
	// an outlier among at least minZonePeers hosts of its own zone, because a partition between two zones affects all hosts of a zone
	// equally.
	minReporters = 2
	minZonePeers = 4
	// reportTTL is how long a report is counted for minReporters.
	reportTTL = 3000
	// maxReporters is the maximum number of reporters whose newest window number is kept.
	maxReporters = 8192
)

// Parameters of the ejections. Times are in milliseconds.
const (
	// maxEjectedShare is the share of a service's hosts that may be ejected at the same time. At least one host may always be ejected,
	// but never the last one.
	maxEjectedShare = 0.3
	// baseEjectionTime is the duration of a host's first ejection. Each consecutive ejection lasts twice as long as the previous one, up
	// to maxEjectionTime. Ejections are consecutive if the next one begins within ejectionMemory after the end of the previous one.
	baseEjectionTime int64 = 2000
	maxEjectionTime  int64 = 16000
	ejectionMemory   int64 = 30000
	// maxDoublings prevents an overflow of the doubled duration. maxEjectionTime is reached after fewer doublings.
	maxDoublings = 8
)

// Ejection is the decision to send no requests to a host for a time.
type Ejection struct {
	Host       string
	DurationMS int64
}

// report is the newest report of a host's failure by one reporter.
type report struct {
	zone string // zone of the reporter
	at   int64
}

// hostRecord is the state of a host that failed or was ejected recently.
type hostRecord struct {
	failures     float64 // weighted and decayed
	updatedAt    int64
	reports      map[uint64]report // by reporter
	ejections    int               // number of consecutive ejections
	ejectedUntil int64
}

// Detector decides on ejections for all gateways. Its state is lost when another process takes over, which does no lasting harm
// because ejections end by themselves. It is not safe for concurrent use.
type Detector struct {
	hosts   map[string]*hostRecord
	windows map[uint64]uint64 // number of the newest window by reporter
}

// NewDetector returns a detector without any observations.
func NewDetector() *Detector {
	return &Detector{hosts: map[string]*hostRecord{}, windows: map[uint64]uint64{}}
}

// Add adds a window, unless it was added before or its failures are likely the reporter's own fault.
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

// weight returns the weighted number of failures of an observation.
func (o Observation) weight() float64 {
	return float64(o.Total()) - (1-serverErrorWeight)*float64(o.Counts[ServerError])
}

// decay decays the failure count and drops expired reports.
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

// Fleet contains the hosts of each service.
type Fleet map[string][]Host

// Decide returns the ejections that begin now, sorted by host. Hosts that are already ejected are not included.
func (d *Detector) Decide(fleet Fleet, now int64) []Ejection {
	d.forget(fleet, now)
	var ejections []Ejection
	for _, hosts := range fleet {
		ejections = append(ejections, d.ejectFromService(hosts, now)...)
	}
	slices.SortFunc(ejections, func(a, b Ejection) int { return strings.Compare(a.Host, b.Host) })
	return ejections
}

// forget drops the state of hosts that left the fleet, and of hosts without recent reports or ejections.
func (d *Detector) forget(fleet Fleet, now int64) {
	listed := map[string]bool{}
	for _, hosts := range fleet {
		for _, host := range hosts {
			listed[host.ID] = true
		}
	}
	for host, record := range d.hosts {
		record.decay(now)
		expired := now-record.ejectedUntil > ejectionMemory && len(record.reports) == 0
		if !listed[host] || expired {
			delete(d.hosts, host)
		}
	}
}

// ejectFromService ejects the outliers of one service, the worst first, up to the maximum number.
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

// countEjected returns the number of hosts that are ejected now.
func (d *Detector) countEjected(hosts []Host, now int64) int {
	count := 0
	for _, host := range hosts {
		if record := d.hosts[host.ID]; record != nil && now < record.ejectedUntil {
			count++
		}
	}
	return count
}

// suspects returns the hosts of a service that are outliers and not ejected yet, the worst first.
func (d *Detector) suspects(hosts []Host, now int64) []Host {
	threshold := thresholdOf(d.failures(hosts))
	var found []Host
	for _, host := range hosts {
		record := d.hosts[host.ID]
		if record == nil || now < record.ejectedUntil || record.failures <= threshold || len(record.reports) < minReporters {
			continue
		}
		if zone, sole := record.soleZone(); sole && !d.isZoneOutlier(host, zone, hosts) {
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

// failures returns the failure count of each host.
func (d *Detector) failures(hosts []Host) []float64 {
	counts := make([]float64, len(hosts))
	for i, host := range hosts {
		if record := d.hosts[host.ID]; record != nil {
			counts[i] = record.failures
		}
	}
	return counts
}

// isZoneOutlier reports whether a host whose reporters are all in one zone is an outlier among the hosts of its own zone. If there
// are too few hosts to compare, the host must be in the zone of its reporters, so that a partition between zones cannot be the cause.
func (d *Detector) isZoneOutlier(host Host, reportedFrom string, hosts []Host) bool {
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

// maxEjected returns how many of a service's hosts may be ejected at the same time.
func maxEjected(hosts int) int {
	return min(max(1, int(maxEjectedShare*float64(hosts))), max(hosts-1, 0))
}

// thresholdOf returns the number of failures above which a host is an outlier among its peers. The average excludes as many of the
// worst hosts as may be ejected, so that several bad hosts do not mask each other. If all hosts fail equally often, none is an
// outlier. It sorts counts.
func thresholdOf(counts []float64) float64 {
	sort.Float64s(counts)
	peers := counts[:len(counts)-maxEjected(len(counts))]
	average := 0.0
	for _, count := range peers {
		average += count / float64(len(peers))
	}
	return peerFactor*average + deviations*math.Sqrt(average) + minExcessFailures
}

// soleZone returns the zone of all recent reporters of the host, or false if they are in different zones.
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

// eject ejects the host and returns the duration of the ejection.
func (r *hostRecord) eject(now int64) (duration int64) {
	if now-r.ejectedUntil > ejectionMemory {
		r.ejections = 0
	}
	duration = min(baseEjectionTime<<min(r.ejections, maxDoublings), maxEjectionTime)
	r.ejections++
	r.ejectedUntil = now + duration
	r.failures = 0 // only failures from now on count
	clear(r.reports)
	return duration
}
