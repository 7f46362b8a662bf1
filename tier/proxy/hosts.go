package proxy

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"otterseam/tier/balance"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/fleetload"
	"otterseam/tier/outlier"
	"otterseam/tier/upstream"
)

// upstreamHost is a host and its connection pool.
type upstreamHost struct {
	balance.Host
	address string
	key     fleetload.HostKey
	service string
	pool    *upstream.Pool

	excessLoggedAt time.Time
}

// hostTable contains the hosts by service and this proxy's observations of them.
type hostTable struct {
	zone           string
	onFirstFailure func() // called at the first failure of a window while the lock is held

	mu           sync.Mutex // guards the fields below and the hosts
	byID         map[string]*upstreamHost
	byService    map[string][]*balance.Host
	observations *outlier.Collector // for the fleet's outlier detection
	fleet        fleetRates
}

func newHostTable(zone string, onFirstFailure func()) *hostTable {
	return &hostTable{
		zone:           zone,
		onFirstFailure: onFirstFailure,
		byID:           map[string]*upstreamHost{},
		byService:      map[string][]*balance.Host{},
		observations:   outlier.NewCollector(rand.Uint64()|1, zone),
	}
}

// update applies changes of the hosts and ejections in the view.
func (t *hostTable) update(items []feed.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, item := range items {
		if item.Section == feed.SectionEjection {
			defer t.eject(item) // after the hosts of the same update
		}
		if item.Section != feed.SectionHost {
			continue
		}
		changed = true
		if item.Deleted {
			t.remove(item.Key)
		} else if host, err := directory.DecodeHost(item.Data); err == nil {
			t.put(host)
		}
	}
	if changed {
		t.groupByService()
	}
}

// eject applies the ejection of a host. A deletion is ignored, because the ejection expires here by itself. The caller holds the lock.
func (t *hostTable) eject(item feed.Item) {
	host := t.byID[item.Key]
	if host == nil || item.Deleted {
		return
	}
	if durationMS, err := directory.DecodeEjectionDuration(item.Data); err == nil {
		host.Eject(time.Now().Add(time.Duration(durationMS) * time.Millisecond))
	}
}

// remove removes a host. The caller holds the lock.
func (t *hostTable) remove(id string) {
	if host := t.byID[id]; host != nil {
		host.pool.Close()
		delete(t.byID, id)
	}
}

// put adds or updates a host. An entry with another address replaces the host. The caller holds the lock.
func (t *hostTable) put(entry directory.Host) {
	host := t.byID[entry.ID]
	if host == nil || host.address != entry.Address {
		t.remove(entry.ID)
		host = &upstreamHost{address: entry.Address, key: fleetload.KeyOf(entry.ID), pool: upstream.NewPool(entry.Address)}
		host.ID = entry.ID
		host.HasIdleConnection = host.pool.HasIdle
		t.byID[entry.ID] = host
	}
	host.service = entry.Service
	host.Zone = entry.Zone
	host.Slots = entry.Slots
	host.Draining = entry.Draining
}

// groupByService rebuilds byService. The caller holds the lock.
func (t *hostTable) groupByService() {
	t.byService = map[string][]*balance.Host{}
	for _, host := range t.byID {
		t.byService[host.service] = append(t.byService[host.service], &host.Host)
	}
}

// choose chooses a host for a request by this proxy's own observations and counts the request there. It returns nil if there is none.
func (t *hostTable) choose(service, preferred string, tried map[string]bool) *upstreamHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	request := balance.Request{
		Zone: t.zone, Preferred: preferred, Tried: tried, Random: rand.Float64, FleetRequestRate: t.fleet.requestsPerSecond(now),
	}
	chosen := balance.Choose(t.byService[service], request, now)
	if chosen == nil {
		return nil
	}
	chosen.Begin()
	t.fleet.sent++
	return t.byID[chosen.ID]
}

// hostOutcome is the outcome of a request as an observation of its host.
type hostOutcome uint8

const (
	hostSucceeded      hostOutcome = iota
	hostServerError                // the host responded with a server error, or not at all before the deadline
	hostRejected                   // the host rejected the request for lack of slots
	hostResponseBroken             // the connection broke before the response was complete
	hostUnreachable                // no connection could be opened
	hostInconclusive               // the outcome is not evidence about the host, for example after a cancellation
)

// finish stops counting a request as in flight at its host and records the outcome.
func (t *hostTable) finish(host *upstreamHost, outcome hostOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host.End()
	t.observe(host, outcome)
	switch outcome {
	case hostSucceeded:
		host.RecordSuccess(time.Now())
	case hostServerError:
		host.RecordServerError(time.Now())
	case hostRejected:
		host.RecordRejection(time.Now())
	case hostResponseBroken, hostUnreachable:
		host.RecordConnectionFailure(time.Now())
	}
}

// observe records an outcome for the fleet's outlier detection. The caller holds the lock.
func (t *hostTable) observe(host *upstreamHost, outcome hostOutcome) {
	t.observations.RecordRequest(host.ID)
	switch outcome {
	case hostServerError:
		t.observeFailure(host, outlier.ServerError)
	case hostResponseBroken:
		t.observeFailure(host, outlier.ConnectionBroken)
	case hostUnreachable:
		t.observeFailure(host, outlier.ConnectFailed)
	}
}

// observeFailure records a failure for the fleet's outlier detection. The caller holds the lock.
func (t *hostTable) observeFailure(host *upstreamHost, failure outlier.Failure) {
	if t.observations.RecordFailure(host.ID, failure) && t.onFirstFailure != nil {
		t.onFirstFailure()
	}
}

// flushObservations ends the current window of observations and returns it.
func (t *hostTable) flushObservations() outlier.Window {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observations.Flush()
}

// updateLoad parses a host's load header and records the load. The header contains the number of running requests, that of queued
// requests, and further values that are not used. A malformed header is ignored.
func (t *hostTable) updateLoad(host *upstreamHost, header string) {
	parts := strings.Split(header, ",")
	if len(parts) < 2 {
		return
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	queued, queuedErr := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil || queuedErr != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	host.UpdateLoad(running, queued, time.Now())
}

// watchStall records a stall of the host when a request has waited for longer than the threshold. The returned function ends the watch
// and clears the stall.
func (t *hostTable) watchStall(host *upstreamHost, threshold time.Duration) (end func()) {
	const (
		waiting = iota
		stalled
		ended
	)
	state := waiting
	timer := time.AfterFunc(threshold, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if state == waiting {
			state = stalled
			host.RecordStall()
			t.observeFailure(host, outlier.Hung)
		}
	})
	return func() {
		timer.Stop()
		t.mu.Lock()
		defer t.mu.Unlock()
		if state == stalled {
			host.ClearStall()
		}
		state = ended
	}
}

// closeExpired closes the connections that have been idle for too long.
func (t *hostTable) closeExpired() {
	t.mu.Lock()
	pools := make([]*upstream.Pool, 0, len(t.byID))
	for _, host := range t.byID {
		pools = append(pools, host.pool)
	}
	t.mu.Unlock()
	for _, pool := range pools {
		pool.CloseExpired()
	}
}
