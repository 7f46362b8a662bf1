package proxy

import (
	"context"
	"errors"
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
	// maxHeaderBytes is the limit of net/http. The guard applies a lower one before.
	maxHeaderBytes = 256 << 10
	// rawHeadOverhead is how much larger than limits.max_header_bytes a head may be on the wire: spaces and the HTTP version don't count.
	rawHeadOverhead = 1 << 10
	// keepAlive is the Keep-Alive header that tells clients how long a connection may stay idle. The proxy closes it later, after
	// idleTimeout, so that no connection is closed while a client sends a request on it.
	keepAlive   = "timeout=3"
	idleTimeout = 5 * time.Second
	// unroutedTimeout is the default timeout of a request that has no route, or whose route is not known yet.
	unroutedTimeout = 10 * time.Second
	// writeMargin is the time after a request's deadline during which its response may still be written to a slow client.
	writeMargin = 300 * time.Millisecond
	// defaultMaxBodyBytes is the size limit of a request body if the operator sets none.
	defaultMaxBodyBytes = 64 << 20
	// headerFieldOverhead is the size of a header field without its name and value: a colon and a line break. A space is optional.
	headerFieldOverhead = 3
)

// The error texts for malformed requests.
const (
	textBadDeadline     = "X-Deadline-Ms is no number of milliseconds"
	textNoRequestID     = "header X-Request-Id is missing: the answer could not be told from others"
	textAmbiguousLength = "the body's length is told twice, or beside chunks"
)

// newServer returns the HTTP server for clients. The contexts of its requests are derived from requestContext. Its listener has to be
// wrapped by the guard.
func (p *Proxy) newServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return p.requestContext },
	}
	p.guard.Install(server)
	return server
}

// serve handles one request: it finds the route, reads the whole request and sends it to hosts.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	p.setConnectionHeaders(w, r)
	if p.rejecting.Load() {
		p.reject(w, codes.Stopping, clientTimeout(r.Header), 0) // other gateways are available at once
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
	body, ok := p.readBody(w, r, route, routes.Config.Limits, deadline)
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

// setConnectionHeaders sets the headers that every response of the proxy contains.
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

// serveRouted serves a completely read request until its deadline.
func (p *Proxy) serveRouted(ctx context.Context, w http.ResponseWriter, routes *opconfig.Table, r *request) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	// a client that does not read must not occupy a host for longer than one that does
	_ = http.NewResponseController(w).SetWriteDeadline(r.deadline.Add(writeMargin))
	if r.route.RouteType == opconfig.RouteStreaming {
		p.serveTurn(ctx, w, r, routes.Service(r.service))
	} else {
		p.servePlain(ctx, w, r)
	}
}

// clientTimeout returns the timeout that the client sets for its request, or unroutedTimeout. It is used while the route is unknown.
func clientTimeout(header http.Header) time.Duration {
	if timeout, ok := parseMilliseconds(header.Get(headerDeadline)); ok {
		return timeout
	}
	return unroutedTimeout
}

// timeoutFor returns the timeout of a request: that of the route, or that of the client if it is shorter. It returns false if the
// client's timeout is malformed.
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

// readBody reads the body of a request within the operator's limits and the request's deadline. If that fails, it writes an error
// response and returns false.
func (p *Proxy) readBody(
	w http.ResponseWriter, r *http.Request, route *opconfig.Route, limits opconfig.Limits, deadline time.Time,
) ([]byte, bool) {
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
	body, err := httpguard.ReadBody(w, r, httpguard.BodyLimits{MaxBytes: maxBytes, Deadline: deadline, Copies: bodyCopies(route)})
	if err != nil {
		p.failBody(w, err, deadline)
		return nil, false
	}
	return body, true
}

// The numbers of copies of a request's body that are in memory at the same time.
const (
	plainCopies    = 2 // the body and the request to the host
	retainedCopies = 6 // besides: the command that retains the turn, and the messages to the stores in the buffers of a connection
)

// bodyCopies returns how many copies of its body a request on a route holds.
func bodyCopies(route *opconfig.Route) int64 {
	if route != nil && route.Retained {
		return retainedCopies
	}
	return plainCopies
}

// failBody writes the response to a request whose body could not be read.
func (p *Proxy) failBody(w http.ResponseWriter, err error, deadline time.Time) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, httpguard.ErrOverloaded):
		w.Header().Set("Connection", "close")
		p.reject(w, codes.Overloaded, time.Until(deadline), overloadDelay)
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

// overloadDelay is the time after which a proxy that has no memory for a request is expected to have some again.
const overloadDelay = time.Second

// headerBytes returns the size of a request's head, without the spaces and the HTTP version of the request line.
func headerBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerFieldOverhead
		}
	}
	return total
}
