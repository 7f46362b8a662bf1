package proxy

import (
	"context"
	"strconv"
	"sync"
	"time"

	"otterseam/tier/lease"
	"otterseam/tier/opconfig"
	"otterseam/tier/retryafter"
)

const (
	// dependencyView is the view that a proxy gets from its agent.
	dependencyView = "view"
	// servicePrefix begins the name of the hosts of a service as a dependency, shardPrefix that of a shard of programs.
	servicePrefix = "service "
	shardPrefix   = "shard "

	// assumedFailover is how long an outage of the view or a shard is assumed to last before one has been seen: until a silent
	// primary's session has ended and another one leads.
	assumedFailover = (lease.StoreTimeout + lease.StoreHeartbeatInterval) * time.Millisecond
	// assumedOverload is how long the hosts of a service are assumed to reject requests.
	assumedOverload = 200 * time.Millisecond

	// maxRoutesWait is how long a request waits for the first view of a proxy that has just started, and routesWaitDivisor the
	// part of the client's time that it waits at most. Clients give up a connection on which nothing is read for a second.
	maxRoutesWait     = 800 * time.Millisecond
	routesWaitDivisor = 4
)

// outageTracker knows the outages that this proxy has seen of what requests depend on.
type outageTracker struct {
	mu        sync.Mutex
	failovers *retryafter.OutageEstimator // of the view and of the shards
	overloads *retryafter.OutageEstimator // of services
}

func newOutageTracker() *outageTracker {
	return &outageTracker{
		failovers: retryafter.NewOutageEstimator(assumedFailover),
		overloads: retryafter.NewOutageEstimator(assumedOverload),
	}
}

func shardDependency(shard uint32) string {
	return shardPrefix + strconv.FormatUint(uint64(shard), 10)
}

// recordFailure notes that the view or a shard could not be used.
func (o *outageTracker) recordFailure(dependency string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failovers.RecordFailure(dependency, time.Now())
}

// recordSuccess notes that the view or a shard could be used.
func (o *outageTracker) recordSuccess(dependency string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failovers.RecordSuccess(dependency, time.Now())
}

// remaining is how much longer the view or a shard is expected to be out.
func (o *outageTracker) remaining(dependency string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failovers.Remaining(dependency, time.Now())
}

// recordService notes that a host of a service has taken a request.
func (o *outageTracker) recordService(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overloads.RecordSuccess(servicePrefix+service, time.Now())
}

// recordOverload notes that no host of a service has taken a request, and returns how long that is expected to last.
func (o *outageTracker) recordOverload(service string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overloads.RecordFailure(servicePrefix+service, time.Now())
	return o.overloads.Remaining(servicePrefix+service, time.Now())
}

// awaitRoutes returns the routes, or nil if there are none. A proxy that has just started has none yet; requests wait for them for
// a moment, within what is left of the client's time.
func (p *Proxy) awaitRoutes(ctx context.Context, left time.Duration) *opconfig.Table {
	if routes := p.routes.Load(); routes != nil {
		return routes
	}
	wait, cancel := context.WithTimeout(ctx, min(maxRoutesWait, left/routesWaitDivisor))
	defer cancel()
	select {
	case <-p.routesReady:
	case <-wait.Done():
	}
	return p.routes.Load()
}
