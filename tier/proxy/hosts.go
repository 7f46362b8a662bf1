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
	"otterseam/tier/outlier"
	"otterseam/tier/upstream"
)

// target is a host with its connections.
type target struct {
	balance.Host
	address string
	service string
	pool    *upstream.Pool
}

// hostTable holds the hosts by service.
type hostTable struct {
	mu        sync.Mutex
	zone      string
	byID      map[string]*target
	byService map[string][]*balance.Host
	seen      *outlier.Collector // what the fleet's judge is told
	firstSeen func()             // called when the first failure of a window was seen; the lock is held
}

func newHostTable(zone string, firstSeen func()) *hostTable {
	return &hostTable{
		zone: zone, byID: map[string]*target{}, byService: map[string][]*balance.Host{},
		seen: outlier.NewCollector(rand.Uint64()|1, zone), firstSeen: firstSeen,
	}
}

// update follows the hosts that changed in the view.
func (t *hostTable) update(items []feed.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, item := range items {
		if item.Section == feed.SectionEjection {
			defer t.setAside(item) // behind the hosts of the same update
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
		t.rebuild()
	}
}

// setAside follows a verdict on a host; the lock is held. One that is taken back has lapsed here by itself.
func (t *hostTable) setAside(item feed.Item) {
	held := t.byID[item.Key]
	if held == nil || item.Deleted {
		return
	}
	if term, err := directory.DecodeEjectionDuration(item.Data); err == nil {
		held.Eject(time.Now().Add(time.Duration(term) * time.Millisecond))
	}
}

func (t *hostTable) remove(id string) {
	if held := t.byID[id]; held != nil {
		held.pool.Close()
		delete(t.byID, id)
	}
}

func (t *hostTable) put(host directory.Host) {
	held := t.byID[host.ID]
	if held == nil || held.address != host.Address {
		t.remove(host.ID)
		held = &target{address: host.Address, pool: upstream.NewPool(host.Address)}
		held.ID = host.ID
		held.HasIdleConnection = held.pool.HasIdle
		t.byID[host.ID] = held
	}
	held.service = host.Service
	held.Zone = host.Zone
	held.Slots = host.Slots
	held.Draining = host.Draining
}

func (t *hostTable) rebuild() {
	t.byService = map[string][]*balance.Host{}
	for _, held := range t.byID {
		t.byService[held.service] = append(t.byService[held.service], &held.Host)
	}
}

// choose takes a host for a request and counts the request there.
func (t *hostTable) choose(service, preferred string, tried map[string]bool) *target {
	t.mu.Lock()
	defer t.mu.Unlock()
	request := balance.Request{Zone: t.zone, Preferred: preferred, Tried: tried, Random: rand.Float64}
	chosen := balance.Choose(t.byService[service], request, time.Now())
	if chosen == nil {
		return nil
	}
	chosen.Begin()
	return t.byID[chosen.ID]
}

// outcome is how a request at a host ended.
type outcome uint8

const (
	outcomeAnswered outcome = iota
	outcomeErred            // the host says that it failed
	outcomeFull
	outcomeFailed
	outcomeUnreached // there was no connection
	outcomeAbandoned // by the client
)

// done counts a request off.
func (t *hostTable) done(host *target, how outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	host.End()
	t.observe(host, how)
	switch how {
	case outcomeAnswered:
		host.RecordSuccess(time.Now())
	case outcomeErred:
		host.RecordServerError(time.Now())
	case outcomeFull:
		host.RecordRejection(time.Now())
	case outcomeFailed, outcomeUnreached:
		host.RecordConnectionFailure(time.Now())
	}
}

// observe counts an outcome for the fleet's judge; the lock is held.
func (t *hostTable) observe(host *target, how outcome) {
	t.seen.RecordRequest(host.ID)
	switch how {
	case outcomeErred:
		t.failed(host, outlier.ServerError)
	case outcomeFailed:
		t.failed(host, outlier.ConnectionBroken)
	case outcomeUnreached:
		t.failed(host, outlier.ConnectFailed)
	}
}

func (t *hostTable) failed(host *target, how outlier.Failure) {
	if t.seen.RecordFailure(host.ID, how) && t.firstSeen != nil {
		t.firstSeen()
	}
}

// takeWindow ends a window of what was seen.
func (t *hostTable) takeWindow() outlier.Window {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen.Flush()
}

// told takes a host's load header: running, waiting, slots.
func (t *hostTable) told(host *target, header string) {
	parts := strings.Split(header, ",")
	if len(parts) < 2 {
		return
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil || waitingErr != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	host.UpdateLoad(running, waiting, time.Now())
}

// watchStall has a host known for a request that waits for longer than a time, until the function that it returns is called.
func (t *hostTable) watchStall(host *target, stallAfter time.Duration) (moved func()) {
	const (
		waiting = iota
		stalled
		ended
	)
	state := waiting
	timer := time.AfterFunc(stallAfter, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if state == waiting {
			state = stalled
			host.RecordStall()
			t.failed(host, outlier.Hung)
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

// sweep closes connections that have rested for too long.
func (t *hostTable) sweep() {
	t.mu.Lock()
	pools := make([]*upstream.Pool, 0, len(t.byID))
	for _, held := range t.byID {
		pools = append(pools, held.pool)
	}
	t.mu.Unlock()
	for _, pool := range pools {
		pool.CloseExpired()
	}
}
