package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"otterseam/tier/feed"
)

// A shutdown uses the grace period, the time that the platform grants before it kills the process. The proxy becomes not ready at once,
// rejects new requests after acceptShare of drainTime, closes its listener after drainTime, and answers the requests still in flight
// before the grace period ends.
const (
	// drainTime is the time for which a proxy that shuts down still accepts connections. The platform probes once per second and
	// removes a gateway after two failed probes.
	drainTime = 3500 * time.Millisecond
	// acceptShare is the share of drainTime during which requests are still accepted. It covers the time after which clients close
	// an idle connection (keepAlive). A request accepted later could outlast the process.
	acceptShare = 6.0 / 7
	// finalResponseTime is the time before the end of the shutdown at which requests in flight are cancelled and answered.
	finalResponseTime = 300 * time.Millisecond
	// graceMargin is the time between the end of the shutdown and the end of the grace period.
	graceMargin = 400 * time.Millisecond
)

// errStopping is the cause with which requests are cancelled at the end of the shutdown.
var errStopping = errors.New("the proxy is shutting down")

// shutdown drains the proxy and returns when the last response and the last settlement have been sent, or when the grace period minus
// graceMargin has passed. It returns an error if requests were still in flight at that time.
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

// awaitSettlements waits for the background settlements, at most until the context ends.
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

// readinessRoutes returns the handler for the platform's readiness probes and for the metrics of this process.
func (p *Proxy) readinessRoutes() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if p.isReady() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	router.Get("/metrics", p.serveMetrics)
	return router
}

// isReady reports whether the proxy can serve: it has routes and hosts and is not draining.
func (p *Proxy) isReady() bool {
	return !p.draining.Load() && p.routes.Load() != nil && len(p.view.All(feed.SectionHost)) > 0
}
