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
	// dependencyView is the name, as a dependency, of the view that a proxy receives from its agent.
	dependencyView = "view"
	// servicePrefix and shardPrefix start the names of the other dependencies: the hosts of a service, and a shard of programs.
	servicePrefix = "service "
	shardPrefix   = "shard "

	// assumedFailover is the assumed duration of an outage of the view or a shard before one has been observed: the time until the
	// session of a failed primary has expired and another store is primary.
	assumedFailover = (lease.StoreTimeout + lease.StoreHeartbeatInterval) * time.Millisecond
	// assumedOverload is the assumed time for which the hosts of a service reject requests, before one has been observed.
	assumedOverload = 200 * time.Millisecond

	// maxRoutesWait is the maximum time for which a request waits for the first view of a proxy that has just started. The wait is
	// also limited to the client's timeout divided by routesWaitDivisor. Clients abandon a connection from which nothing is read
	// for a second.
	maxRoutesWait     = 800 * time.Millisecond
	routesWaitDivisor = 4
)

// outageTracker records the outages of the dependencies of requests that this proxy has observed.
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

// recordFailure records that the view or a shard was unavailable.
func (o *outageTracker) recordFailure(dependency string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failovers.RecordFailure(dependency, time.Now())
}

// recordSuccess records that the view or a shard was available.
func (o *outageTracker) recordSuccess(dependency string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failovers.RecordSuccess(dependency, time.Now())
}

// remaining returns how much longer the view or a shard is expected to be unavailable.
func (o *outageTracker) remaining(dependency string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failovers.Remaining(dependency, time.Now())
}

// recordServiceSuccess records that a host of a service has accepted a request.
func (o *outageTracker) recordServiceSuccess(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overloads.RecordSuccess(servicePrefix+service, time.Now())
}

// recordOverload records that no host of a service has accepted a request, and returns how long this is expected to last.
func (o *outageTracker) recordOverload(service string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overloads.RecordFailure(servicePrefix+service, time.Now())
	return o.overloads.Remaining(servicePrefix+service, time.Now())
}

// awaitRoutes returns the routes, or nil if there are none. A proxy that has just started has none yet, so requests wait a short time
// for them, depending on the client's remaining time.
func (p *Proxy) awaitRoutes(ctx context.Context, remaining time.Duration) *opconfig.Table {
	if routes := p.routes.Load(); routes != nil {
		return routes
	}
	wait, cancel := context.WithTimeout(ctx, min(maxRoutesWait, remaining/routesWaitDivisor))
	defer cancel()
	select {
	case <-p.routesReady:
	case <-wait.Done():
	}
	return p.routes.Load()
}
