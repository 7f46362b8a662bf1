package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"otterseam/tier/feed"
)

// A shutdown takes the time that the platform grants before it kills the process (the grace): the proxy is not ready any more at
// once, rejects new requests after acceptShare of drainTime, closes its listener after drainTime, and answers what is still in flight
// before the grace ends.
const (
	// drainTime is how long a proxy that shuts down keeps taking connections: the platform probes once a second and takes a
	// gateway out after two misses.
	drainTime = 3500 * time.Millisecond
	// acceptShare is the part of drainTime in which requests are still taken on connections that are open; clients give up one
	// that has been idle for as long as they were told. Work that is taken later could last beyond the end.
	acceptShare = 6.0 / 7
	// finalResponseTime is how long before the end requests in flight are cancelled and answered.
	finalResponseTime = 300 * time.Millisecond
	// graceMargin is how long before the platform kills the process its last responses are given up.
	graceMargin = 400 * time.Millisecond
)

// errStopping is why requests are cancelled at the end of the process.
var errStopping = errors.New("the proxy is about to end")

// shutdown drains the proxy and returns when the last response and the last settlement are out, or the grace has ended. The error
// says that requests were still in flight then.
func (p *Proxy) shutdown(ctx context.Context, clients *http.Server) error {
	p.draining.Store(true)
	grace := p.settings.Bounds.Grace - graceMargin
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	defer time.AfterFunc(grace-finalResponseTime, func() { p.cancelRequests(errStopping) }).Stop()
	drain := min(drainTime, p.settings.Bounds.Grace/2)
	defer time.AfterFunc(time.Duration(float64(drain)*acceptShare), func() { p.rejecting.Store(true) }).Stop()
	select {
	case <-ctx.Done():
	case <-time.After(drain):
	}
	err := clients.Shutdown(ctx)
	p.awaitSettlements(ctx)
	return err
}

// awaitSettlements waits for the settlements in the background until the context ends.
func (p *Proxy) awaitSettlements(ctx context.Context) {
	settled := make(chan struct{})
	go func() {
		p.settlements.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}

// readinessRoutes answer the probes of the platform.
func (p *Proxy) readinessRoutes() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if p.isReady() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// isReady tells whether the proxy can serve: it has routes and hosts and is not draining.
func (p *Proxy) isReady() bool {
	return !p.draining.Load() && p.routes.Load() != nil && len(p.view.All(feed.SectionHost)) > 0
}
