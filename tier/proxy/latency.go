package proxy

import (
	"sync"
	"time"

	"otterseam/tier/hangdetect"
	"otterseam/tier/opconfig"
)

// defaultStallThreshold is the waiting time after which a request counts as stalled while its route has too few observed latencies.
const defaultStallThreshold = time.Second

// routeLatencies estimates, for each route, the usual time until the first byte of a response.
type routeLatencies struct {
	mu         sync.Mutex
	estimators map[string]*hangdetect.Estimator
}

func newRouteLatencies() *routeLatencies {
	return &routeLatencies{estimators: map[string]*hangdetect.Estimator{}}
}

// retainRoutes removes the estimators of routes that the configuration does not contain.
func (l *routeLatencies) retainRoutes(config *opconfig.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	retained := map[string]*hangdetect.Estimator{}
	for _, route := range config.Routes {
		if estimator := l.estimators[route.Name]; estimator != nil {
			retained[route.Name] = estimator
		}
	}
	l.estimators = retained
}

// estimator returns the estimator of a route and creates it if necessary. The caller holds the lock.
func (l *routeLatencies) estimator(route string) *hangdetect.Estimator {
	estimator := l.estimators[route]
	if estimator == nil {
		estimator = &hangdetect.Estimator{}
		l.estimators[route] = estimator
	}
	return estimator
}

// observeResponse records how long a request waited for the first byte of its response.
func (l *routeLatencies) observeResponse(route string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimator(route).ObserveResponse(latency)
}

// observeTimeout records how long a request waited before it was considered hung.
func (l *routeLatencies) observeTimeout(route string, waited time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimator(route).ObserveTimeout(waited)
}

// stallThreshold returns how long a request may wait for the first byte of its response before this counts against the host.
func (l *routeLatencies) stallThreshold(r *request) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	threshold, known := l.estimator(r.route.Name).OutlierThreshold()
	if !known {
		return defaultStallThreshold
	}
	return max(threshold, milliseconds(r.route.TargetMS))
}

// responseDeadline returns the deadline for the first byte of the response to an idempotent or resumable request, or zero if there is
// none.
func (l *routeLatencies) responseDeadline(r *request) time.Time {
	target := milliseconds(r.route.TargetMS)
	remaining := r.remaining()
	if r.route.RouteType == opconfig.RouteStreaming {
		remaining = hangdetect.ClientSilenceTimeout(target, milliseconds(r.route.GapTargetMS), remaining)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout, enabled := l.estimator(r.route.Name).Timeout(target, remaining)
	if !enabled {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}
