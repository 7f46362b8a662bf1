package outlier

import (
	"math"
	"slices"
	"sort"
	"strings"
)

const (
	// halfLife is the time in milliseconds in which what was seen counts half.
	halfLife = 2000
	// minExcessFailures is how many failures it takes beyond what the peers show, and spread how many standard deviations of a Poisson count
	// besides; a host has to fail peerFactor times as often as its usual peer.
	minExcessFailures = 2.5
	deviations        = 4
	peerFactor        = 2
	// serverErrorWeight is what an answer counts that says that the host failed: it may be the request's own doing.
	serverErrorWeight = 0.5
	// minReporters have to have seen it lately. If all of them lie in one zone, the host has to be an outlier among at least
	// fewestPeers hosts of its own zone as well: a cut between two zones strikes these alike.
	minReporters = 2
	minZonePeers = 4
	// reportTTL is how long a reporter counts, in milliseconds.
	reportTTL = 3000
	// maxEjectedShare is the share of a service's hosts that may be set aside at once; one at least always may, the last never.
	maxEjectedShare = 0.3
	// baseEjectionTime is how long a host is set aside in milliseconds, twice as long each time it is again, up to longestTerm. It counts
	// as again within forgetAfter of the end of the term before.
	baseEjectionTime int64 = 2000
	maxEjectionTime  int64 = 16000
	ejectionMemory   int64 = 30000
	// maxReporters bounds the reporters whose newest window is remembered.
	maxReporters = 8192
)

// Ejection says that a host is set aside for a time.
type Ejection struct {
	Host       string
	DurationMS int64
}

type report struct {
	zone string
	at   int64
}

type hostRecord struct {
	failures     float64 // decayed
	updatedAt    int64
	reports      map[uint64]report // by reporter
	ejections    int               // in a row
	ejectedUntil int64
}

// Detector decides for all gateways. It has one owner and forgets everything when another takes over: verdicts lapse by themselves.
type Detector struct {
	hosts   map[string]*hostRecord
	windows map[uint64]uint64 // the newest by reporter
}

// NewDetector makes a judge that knows nothing.
func NewDetector() *Detector {
	return &Detector{hosts: map[string]*hostRecord{}, windows: map[uint64]uint64{}}
}

// Flush adds a window, unless it was added before or tells of its reporter's own trouble.
func (j *Detector) Add(w Window, now int64) {
	if w.Number <= j.windows[w.Reporter] || w.IsReporterFault() {
		return
	}
	if len(j.windows) >= maxReporters {
		clear(j.windows)
	}
	j.windows[w.Reporter] = w.Number
	for _, each := range w.Hosts {
		held := j.hosts[each.Host]
		if held == nil {
			held = &hostRecord{reports: map[uint64]report{}, updatedAt: now}
			j.hosts[each.Host] = held
		}
		held.decay(now)
		held.failures += each.weight()
		held.reports[w.Reporter] = report{w.Zone, now}
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

// Host is a host that may be judged.
type Host struct {
	ID   string
	Zone string
}

// Fleet is what the judge has to know of the hosts: those of each service.
type Fleet map[string][]Host

// Decide returns the hosts that are to be set aside from now on. Those that are already are not named again.
func (j *Detector) Decide(fleet Fleet, now int64) []Ejection {
	j.forget(fleet, now)
	var verdicts []Ejection
	for _, hosts := range fleet {
		verdicts = append(verdicts, j.ejectFromService(hosts, now)...)
	}
	slices.SortFunc(verdicts, func(a, b Ejection) int { return strings.Compare(a.Host, b.Host) })
	return verdicts
}

// forget drops hosts that are gone or that nothing was heard of for long.
func (j *Detector) forget(fleet Fleet, now int64) {
	listed := map[string]bool{}
	for _, hosts := range fleet {
		for _, host := range hosts {
			listed[host.ID] = true
		}
	}
	for host, held := range j.hosts {
		held.decay(now)
		if !listed[host] || now-held.ejectedUntil > ejectionMemory && len(held.reports) == 0 {
			delete(j.hosts, host)
		}
	}
}

func (j *Detector) ejectFromService(hosts []Host, now int64) []Ejection {
	out := 0
	suspects := j.suspects(hosts, now)
	for _, host := range hosts {
		if held := j.hosts[host.ID]; held != nil && now < held.ejectedUntil {
			out++
		}
	}
	var verdicts []Ejection
	for _, host := range suspects {
		if out >= maxEjected(len(hosts)) {
			break
		}
		out++
		verdicts = append(verdicts, Ejection{host.ID, j.hosts[host.ID].eject(now)})
	}
	return verdicts
}

// suspects lists the hosts of a service that are outliers and not set aside yet, the worst first.
func (j *Detector) suspects(hosts []Host, now int64) []Host {
	threshold := thresholdOf(j.failures(hosts))
	var found []Host
	for _, host := range hosts {
		held := j.hosts[host.ID]
		if held == nil || now < held.ejectedUntil || held.failures <= threshold || len(held.reports) < minReporters {
			continue
		}
		if zone, one := held.soleZone(); one && !j.standsOutInZone(host, zone, hosts) {
			continue
		}
		found = append(found, host)
	}
	sort.Slice(found, func(a, b int) bool {
		left, right := j.hosts[found[a].ID].failures, j.hosts[found[b].ID].failures
		if left != right {
			return left > right
		}
		return found[a].ID < found[b].ID
	})
	return found
}

// failures are those of each host.
func (j *Detector) failures(hosts []Host) []float64 {
	counts := make([]float64, len(hosts))
	for i, host := range hosts {
		if held := j.hosts[host.ID]; held != nil {
			counts[i] = held.failures
		}
	}
	return counts
}

// standsOutInZone tells whether a host that is reported from one zone alone is an outlier among the hosts of its own zone. With too few
// to compare, it has to lie in the zone of those who report it: no link between zones is in question then.
func (j *Detector) standsOutInZone(host Host, reportedFrom string, hosts []Host) bool {
	var peers []Host
	for _, each := range hosts {
		if each.Zone == host.Zone {
			peers = append(peers, each)
		}
	}
	if len(peers) < minZonePeers {
		return host.Zone == reportedFrom
	}
	return j.hosts[host.ID].failures > thresholdOf(j.failures(peers))
}

// maxEjected is how many of the hosts of a service may be set aside at once.
func maxEjected(hosts int) int {
	return min(max(1, int(maxEjectedShare*float64(hosts))), max(hosts-1, 0))
}

// thresholdOf is how many failures make a host an outlier among its peers. The usual peer is the mean of those that stay if as many
// as may be are set aside, so that many bad hosts don't hide each other; where all fail alike, none is an outlier.
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
func (r *hostRecord) soleZone() (zone string, one bool) {
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

func (r *hostRecord) eject(now int64) (term int64) {
	if now-r.ejectedUntil > ejectionMemory {
		r.ejections = 0
	}
	term = min(baseEjectionTime<<min(r.ejections, 8), maxEjectionTime)
	r.ejections++
	r.ejectedUntil = now + term
	r.failures = 0 // what it does from now on counts
	clear(r.reports)
	return term
}
