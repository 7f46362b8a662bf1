package proxy

import (
	"net/http"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/httpguard"
	"otterseam/tier/limits"
	"otterseam/tier/memorybudget"
)

// Limits of the port for readiness probes, whose requests are short and have no body.
const (
	maxProbeHeadBytes = 8 << 10
	probeTimeout      = 5 * time.Second
)

// overloadRetryAfter is the Retry-After header, in seconds, of requests that are rejected before their head is complete.
const overloadRetryAfter = "1"

// limitClients sets what clients and readiness probes may hold. They have limits apart from each other.
func (p *Proxy) limitClients(l limits.Limits) {
	p.guard.Memory = memorybudget.NewBudget(l.ClientBytes())
	p.guard.MaxConnections = l.ClientConnections()
	p.probeGuard.Memory = memorybudget.NewBudget(l.ProbeBytes())
	p.probeGuard.MaxConnections = l.ProbeConnections()
	p.probeGuard.SetMaxHeadBytes(maxProbeHeadBytes)
	p.probeGuard.SetHeadTimeout(probeTimeout)
	tooLarge := problemBody(codes.HeadTooLarge, codes.HeadTooLarge.Error())
	overloaded := problemBody(codes.Overloaded, codes.Overloaded.Error())
	for _, guard := range []*httpguard.Guard{&p.guard, &p.probeGuard} {
		guard.HeadTooLarge = httpguard.Response(http.StatusRequestHeaderFieldsTooLarge, "", tooLarge)
		guard.Overloaded = httpguard.Response(http.StatusServiceUnavailable, overloadRetryAfter, overloaded)
	}
}

// newProbeServer returns the HTTP server for readiness probes. Its listener has to be wrapped by probeGuard.
func (p *Proxy) newProbeServer() *http.Server {
	server := &http.Server{
		Handler:        p.readinessRoutes(),
		ReadTimeout:    probeTimeout,
		WriteTimeout:   probeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxProbeHeadBytes,
	}
	p.probeGuard.Install(server)
	return server
}
