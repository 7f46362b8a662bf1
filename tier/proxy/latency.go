package proxy

import (
	"sync"
	"time"

	"otterseam/tier/hangdetect"
	"otterseam/tier/opconfig"
)

// defaultStallThreshold is after how long a request counts as stalled while it is not known what is usual on its route.
const defaultStallThreshold = time.Second

// routeLatencies knows, by route, how long responses usually take to begin.
type routeLatencies struct {
	mu         sync.Mutex
	estimators map[string]*hangdetect.Estimator
}

func newRouteLatencies() *routeLatencies {
	return &routeLatencies{estimators: map[string]*hangdetect.Estimator{}}
}

// retainRoutes forgets the routes that a configuration no longer has.
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

// estimator returns that of a route; the lock is held.
func (l *routeLatencies) estimator(route string) *hangdetect.Estimator {
	estimator := l.estimators[route]
	if estimator == nil {
		estimator = &hangdetect.Estimator{}
		l.estimators[route] = estimator
	}
	return estimator
}

// observeResponse takes how long a request waited for the first byte of its response.
func (l *routeLatencies) observeResponse(route string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimator(route).ObserveResponse(latency)
}

// observeTimeout takes how long a request waited that then was given up as hung.
func (l *routeLatencies) observeTimeout(route string, waited time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimator(route).ObserveTimeout(waited)
}

// stallThreshold is how long a request may wait for its response to begin before its host is penalised for it.
func (l *routeLatencies) stallThreshold(r *request) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	threshold, known := l.estimator(r.route.Name).OutlierThreshold()
	if !known {
		return defaultStallThreshold
	}
	return max(threshold, milliseconds(r.route.TargetMS))
}

// responseDeadline is until when the response of an idempotent or resumable request has to begin, or zero for no such time.
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
