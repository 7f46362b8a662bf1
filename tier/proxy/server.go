package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/httpguard"
	"otterseam/tier/opconfig"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 256 << 10
	// keepAlive is how long clients are told that a connection may stay idle; it is closed a little later, after idleTimeout, so
	// that none is closed under a request.
	keepAlive   = "timeout=3"
	idleTimeout = 5 * time.Second
	// unroutedTimeout is how long the body of a request may take for which there is no route.
	unroutedTimeout = 10 * time.Second
	// writeMargin is how long after its deadline a response may still be written to a client that reads slowly.
	writeMargin = 300 * time.Millisecond
	// defaultMaxBodyBytes bounds the body of a request where the operator sets no limit.
	defaultMaxBodyBytes = 64 << 20
	// headerFieldOverhead is what a header field takes besides its name and value: a colon, a space and a line break.
	headerFieldOverhead = 4
)

// The texts of requests that cannot be served as they are.
const (
	textBadDeadline     = "X-Deadline-Ms is no number of milliseconds"
	textNoRequestID     = "header X-Request-Id is missing: the answer could not be told from others"
	textAmbiguousLength = "the body's length is told twice, or beside chunks"
)

// newServer makes the server for clients. Its requests end with requestBase, and its connections have to come from the guard.
func (p *Proxy) newServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return p.requestBase },
	}
	p.guard.Install(server)
	return server
}

// serve takes one request: it finds the route, reads the request whole and sends it to hosts.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	p.setConnectionHeaders(w, r)
	if p.rejecting.Load() {
		p.reject(w, codes.Stopping, clientTimeout(r.Header), 0) // other gateways are there now
		return
	}
	routes := p.awaitRoutes(r.Context(), clientTimeout(r.Header))
	if routes == nil {
		p.reject(w, codes.NotReady, clientTimeout(r.Header), p.outages.remaining(dependencyView))
		return
	}
	route := routes.Route(r.Host, r.URL.Path)
	timeout, ok := timeoutFor(route, r.Header)
	if !ok {
		p.failText(w, http.StatusBadRequest, codes.RequestMalformed, textBadDeadline)
		return
	}
	deadline := arrived.Add(timeout)
	body, ok := p.readBody(w, r, routes.Config.Limits, deadline)
	if !ok {
		return
	}
	if route == nil {
		p.fail(w, http.StatusNotFound, codes.NoRoute)
		return
	}
	id := r.Header.Get(headerRequestID)
	if id == "" {
		p.failText(w, http.StatusBadRequest, codes.RequestMalformed, textNoRequestID)
		return
	}
	p.serveRouted(r.Context(), w, routes, &request{
		id: id, method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, body: body,
		route: route, service: route.PickService(rand.Float64()), deadline: deadline,
	})
}

// setConnectionHeaders sets the headers that every response of the proxy has.
func (p *Proxy) setConnectionHeaders(w http.ResponseWriter, r *http.Request) {
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	} else {
		w.Header().Set("Keep-Alive", keepAlive)
	}
	if id := r.Header.Get(headerRequestID); id != "" {
		w.Header().Set(headerRequestID, id)
	}
}

// serveRouted serves a request that was read whole, until its deadline.
func (p *Proxy) serveRouted(ctx context.Context, w http.ResponseWriter, routes *opconfig.Table, r *request) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	// a client that does not read must not hold a host for longer than one that does
	_ = http.NewResponseController(w).SetWriteDeadline(r.deadline.Add(writeMargin))
	if r.route.RouteType == opconfig.RouteStreaming {
		p.serveTurn(ctx, w, r, routes.Service(r.service))
	} else {
		p.servePlain(ctx, w, r)
	}
}

// clientTimeout is the time that a client gives its request, before its route is known.
func clientTimeout(header http.Header) time.Duration {
	if timeout, ok := parseMilliseconds(header.Get(headerDeadline)); ok {
		return timeout
	}
	return unroutedTimeout
}

// timeoutFor is how long a request may take: the route's timeout, or the client's if that is shorter. It reports false if the
// client's cannot be read.
func timeoutFor(route *opconfig.Route, header http.Header) (time.Duration, bool) {
	timeout := unroutedTimeout
	if route != nil {
		timeout = milliseconds(route.TimeoutMS)
	}
	text := header.Get(headerDeadline)
	if text == "" {
		return timeout, true
	}
	requested, ok := parseMilliseconds(text)
	return min(timeout, requested), ok
}

// readBody reads the whole request within the operator's limits and the request's own time. It reports false if it has answered
// the request instead.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, limits opconfig.Limits, deadline time.Time) ([]byte, bool) {
	if httpguard.HasAmbiguousLength(r) {
		w.Header().Set("Connection", "close")
		p.failText(w, http.StatusBadRequest, codes.RequestMalformed, textAmbiguousLength)
		return nil, false
	}
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		p.fail(w, http.StatusRequestHeaderFieldsTooLarge, codes.HeadTooLarge)
		return nil, false
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if r.ContentLength == 0 {
		return nil, true
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		p.failBody(w, err)
		return nil, false
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, true
}

// failBody answers a request whose body could not be read.
func (p *Proxy) failBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		p.fail(w, http.StatusRequestEntityTooLarge, codes.BodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		p.fail(w, http.StatusRequestTimeout, codes.DeadlineReached)
	default:
		w.Header().Set("Connection", "close")
		p.fail(w, http.StatusBadRequest, codes.RequestMalformed)
	}
}

// headerBytes is the length of a request's head, without the spaces and the version of its first line.
func headerBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerFieldOverhead
		}
	}
	return total
}
