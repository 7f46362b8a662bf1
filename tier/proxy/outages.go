package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"otterseam/tier/lease"
	"otterseam/tier/opconfig"
	"otterseam/tier/retryafter"
)

const (
	// needsView is the key of the view that a proxy gets from its agent.
	needsView = "view"
	// needsService begins the key of a service's hosts, needsShard that of a shard of programs.
	needsService = "service "
	needsShard   = "shard "

	// assumedFailover is how long the view or a shard is taken to be away before that has been seen: until a silent primary's
	// session has ended and another one leads.
	assumedFailover = (lease.StoreTimeout + lease.StoreHeartbeatInterval) * time.Millisecond
	// assumedFull is how long the hosts of a service are taken to turn requests away.
	assumedFull = 200 * time.Millisecond

	// tablePatience is how long a request waits in line for the first view of a proxy that has just started, and tableShare the
	// part of the client's time that it waits at most. Clients give up a connection on which nothing is read for a second.
	tablePatience = 800 * time.Millisecond
	tableShare    = 4
)

// outages is what this proxy has seen of the outages of what requests need.
type outages struct {
	mu        sync.Mutex
	failovers *retryafter.OutageEstimator
	services  *retryafter.OutageEstimator
}

func newOutages() *outages {
	return &outages{failovers: retryafter.NewOutageEstimator(assumedFailover), services: retryafter.NewOutageEstimator(assumedFull)}
}

func shardKey(shard uint32) string { return needsShard + strconv.FormatUint(uint64(shard), 10) }

// failed notes that the view or a shard could not be used.
func (o *outages) failed(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failovers.RecordFailure(key, time.Now())
}

// worked notes that it could.
func (o *outages) worked(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failovers.RecordSuccess(key, time.Now())
}

// remaining is how long the view or a shard is expected to be away.
func (o *outages) remaining(key string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failovers.Remaining(key, time.Now())
}

// servedBy notes that a host of a service has taken a request.
func (o *outages) servedBy(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.services.RecordSuccess(needsService+service, time.Now())
}

// turnedAway notes that no host of a service has, and returns how long that is expected to last.
func (o *outages) turnedAway(service string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.services.RecordFailure(needsService+service, time.Now())
	return o.services.Remaining(needsService+service, time.Now())
}

// clientTime is the time that a client gives its request, before its route is known.
func clientTime(header http.Header) time.Duration {
	if asked, ok := milliseconds(header.Get("X-Deadline-Ms")); ok {
		return asked
	}
	return unroutedPatience
}

// awaitTable returns the routes. A proxy that has just started has none yet; requests wait in line for them for a moment.
func (p *Proxy) awaitTable(ctx context.Context, left time.Duration) *opconfig.Table {
	if table := p.table.Load(); table != nil {
		return table
	}
	wait, cancel := context.WithTimeout(ctx, min(tablePatience, left/tableShare))
	defer cancel()
	select {
	case <-p.tabled:
	case <-wait.Done():
	}
	return p.table.Load()
}
