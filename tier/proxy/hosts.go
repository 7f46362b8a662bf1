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

// upstreamHost is a host with its connections.
type upstreamHost struct {
	balance.Host
	address string
	key     fleetload.HostKey
	service string
	pool    *upstream.Pool
}

// hostTable holds the hosts by service, and what this proxy observes of them.
type hostTable struct {
	zone           string
	onFirstFailure func() // called at the first failure of a window; the lock is held

	mu           sync.Mutex // guards the fields below and the hosts
	byID         map[string]*upstreamHost
	byService    map[string][]*balance.Host
	observations *outlier.Collector // for the fleet's outlier detection
	fleet        fleetKnowledge
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

// update follows the hosts and ejections that changed in the view.
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

// eject follows the ejection of a host; the lock is held. One that is revoked has expired here by itself.
func (t *hostTable) eject(item feed.Item) {
	host := t.byID[item.Key]
	if host == nil || item.Deleted {
		return
	}
	if durationMS, err := directory.DecodeEjectionDuration(item.Data); err == nil {
		host.Eject(time.Now().Add(time.Duration(durationMS) * time.Millisecond))
	}
}

// remove forgets a host; the lock is held.
func (t *hostTable) remove(id string) {
	if host := t.byID[id]; host != nil {
		host.pool.Close()
		delete(t.byID, id)
	}
}

// put adds or changes a host; the lock is held. One at another address is another host.
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

// groupByService rebuilds byService; the lock is held.
func (t *hostTable) groupByService() {
	t.byService = map[string][]*balance.Host{}
	for _, host := range t.byID {
		t.byService[host.service] = append(t.byService[host.service], &host.Host)
	}
}

// choose takes a host for a request and counts the request there; it returns nil if there is none.
func (t *hostTable) choose(service, preferred string, tried map[string]bool) *upstreamHost {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	request := balance.Request{
		Zone: t.zone, Preferred: preferred, Tried: tried, Random: rand.Float64, FleetRequestRate: t.fleet.beginsPerSecond(now),
	}
	chosen := balance.Choose(t.byService[service], request, now)
	if chosen == nil {
		return nil
	}
	chosen.Begin()
	t.fleet.begins++
	return t.byID[chosen.ID]
}

// hostOutcome is what a request at a host says of the host.
type hostOutcome uint8

const (
	hostSucceeded   hostOutcome = iota
	hostErred                   // it says that it failed, or was silent until the deadline
	hostFull                    // it rejected the request
	hostBrokeOff                // its response broke off
	hostUnreachable             // there was no connection
	hostUnjudged                // the request was cancelled
)

// finish counts a request off, with what it says of its host.
func (t *hostTable) finish(host *upstreamHost, outcome hostOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host.End()
	t.observe(host, outcome)
	switch outcome {
	case hostSucceeded:
		host.RecordSuccess(time.Now())
	case hostErred:
		host.RecordServerError(time.Now())
	case hostFull:
		host.RecordRejection(time.Now())
	case hostBrokeOff, hostUnreachable:
		host.RecordConnectionFailure(time.Now())
	}
}

// observe counts an outcome for the fleet's outlier detection; the lock is held.
func (t *hostTable) observe(host *upstreamHost, outcome hostOutcome) {
	t.observations.RecordRequest(host.ID)
	switch outcome {
	case hostErred:
		t.observeFailure(host, outlier.ServerError)
	case hostBrokeOff:
		t.observeFailure(host, outlier.ConnectionBroken)
	case hostUnreachable:
		t.observeFailure(host, outlier.ConnectFailed)
	}
}

// observeFailure counts a failure for the fleet's outlier detection; the lock is held.
func (t *hostTable) observeFailure(host *upstreamHost, failure outlier.Failure) {
	if t.observations.RecordFailure(host.ID, failure) && t.onFirstFailure != nil {
		t.onFirstFailure()
	}
}

// flushObservations ends a window of observations.
func (t *hostTable) flushObservations() outlier.Window {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observations.Flush()
}

// updateLoad takes a host's load header: requests running, requests queued, and more that does not matter here. One that cannot be
// read is ignored.
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

// watchStall records a stall of the host if a request there waits for longer than a threshold, until the function that it returns
// is called.
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

// closeExpired closes connections that have been idle for too long.
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
