package proxy

import (
	"sync"
	"time"

	"otterseam/tier/hangdetect"
	"otterseam/tier/opconfig"
)

// patiences knows, by route, how long answers usually take to begin.
type patiences struct {
	mu      sync.Mutex
	byRoute map[string]*hangdetect.Estimator
}

func newPatiences() *patiences { return &patiences{byRoute: map[string]*hangdetect.Estimator{}} }

// follow forgets the routes that a configuration no longer has.
func (p *patiences) follow(config *opconfig.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := map[string]*hangdetect.Estimator{}
	for _, route := range config.Routes {
		if estimator := p.byRoute[route.Name]; estimator != nil {
			kept[route.Name] = estimator
		}
	}
	p.byRoute = kept
}

func (p *patiences) of(route string) *hangdetect.Estimator {
	estimator := p.byRoute[route]
	if estimator == nil {
		estimator = &hangdetect.Estimator{}
		p.byRoute[route] = estimator
	}
	return estimator
}

// answered notes how long a request waited for the first sign of its answer.
func (p *patiences) answered(route string, waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(route).ObserveResponse(waited)
}

// givenUp notes that a request was given up after a time.
func (p *patiences) givenUp(route string, waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(route).ObserveTimeout(waited)
}

// stallAfter is how long a request may wait for its answer to begin before its host is known for it.
func (p *patiences) stallAfter(r *request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, known := p.of(r.route.Name).OutlierThreshold()
	if !known {
		return unknownStall
	}
	return max(usual, time.Duration(r.route.TargetMS*float64(time.Millisecond)))
}

// unknownStall is the same while it is not known what is usual on a route.
const unknownStall = time.Second

// limit is until when the answer of a request that may be repeated has to begin, or zero if there is no such time.
func (p *patiences) limit(r *request) time.Time {
	target := time.Duration(r.route.TargetMS * float64(time.Millisecond))
	left := r.left()
	if r.route.RouteType == opconfig.RouteStreaming {
		left = hangdetect.ClientSilenceTimeout(target, time.Duration(r.route.GapTargetMS*float64(time.Millisecond)), left)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, wanted := p.of(r.route.Name).Timeout(target, left)
	if !wanted {
		return time.Time{}
	}
	return time.Now().Add(limit)
}
