// Package proxy is the data plane: it takes requests of clients, finds their route, charges the budgets of agent programs, and
// sends them to hosts. It serves from the view that the agent on its machine feeds it.
package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/feed"
	"otterseam/tier/httpguard"
	"otterseam/tier/opconfig"
	"otterseam/tier/periodic"
	"otterseam/tier/retryafter"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTold is how long clients are told that a connection may rest; it is closed a little later, so that none is closed
	// under a request.
	idleTold       = "timeout=3"
	idleTimeout    = 5 * time.Second
	maxHeaderBytes = 256 << 10
	sweepEvery     = time.Second
	// drainFor is how long a proxy that is to stop keeps taking connections: the platform asks once a second and takes a
	// gateway out after two misses.
	drainFor = 3500 * time.Millisecond
	// unroutedPatience is how long the body of a request may take for which there is no route.
	unroutedPatience = 10 * time.Second
	// writeMargin is how long after its deadline a request's answer may still be written to a client that reads slowly.
	writeMargin = 300 * time.Millisecond
	// takeShare is the part of drainFor in which requests are still taken on connections that are open; clients give up one that
	// has rested for as long as they were told. Work that is taken later could last beyond the end.
	takeShare = 6.0 / 7
	// lastAnswers is how long before the end requests that have no answer yet are given one.
	lastAnswers = 300 * time.Millisecond
	// graceMargin is how long before the platform kills the process its last answers are given up.
	graceMargin = 400 * time.Millisecond
)

// Proxy is a proxy process.
type Proxy struct {
	settings *settings.Settings
	log      *logrus.Entry
	view     *feed.View
	hosts    *hostTable
	programs *programClient
	table    atomic.Pointer[opconfig.Table]
	tabled   chan struct{} // closed once there is a table
	outages  *outages
	patience *patiences
	timeline *timeline.Timeline
	agent    *rpc.Client // takes what was seen of hosts
	guard    httpguard.Guard
	stopping atomic.Bool // the platform is to send no more connections
	refusing atomic.Bool // no more requests are taken
	lifetime context.Context
	endAll   context.CancelCauseFunc // ends the requests under way
	work     sync.WaitGroup          // settlements that nobody waits for
}

// New makes a proxy.
func New(s *settings.Settings, log *logrus.Entry) (*Proxy, error) {
	required := map[string]string{"listen.front": s.ListenFront, "listen.readiness": s.ListenReadiness}
	if err := settings.Require(required); err != nil {
		return nil, err
	}
	view := feed.NewView()
	outages := newOutages()
	p := &Proxy{
		settings: s, log: log, view: view, programs: newProgramClient(view, outages),
		tabled: make(chan struct{}), outages: outages, patience: newPatiences(), timeline: timeline.New(log),
	}
	outages.failed(needsView)
	p.hosts = newHostTable(s.Zone, func() { time.AfterFunc(windowLength, p.report) })
	p.agent = rpc.NewClient(s.AgentAddress(), nil)
	p.lifetime, p.endAll = context.WithCancelCause(context.Background())
	return p, nil
}

// Run serves until the context ends, and then ends in order.
func (p *Proxy) Run(ctx context.Context) error {
	front, err := net.Listen("tcp", p.settings.ListenFront)
	if err != nil {
		return oops.Wrapf(err, "listen.front")
	}
	readiness, err := net.Listen("tcp", p.settings.ListenReadiness)
	if err != nil {
		return oops.Wrapf(err, "listen.readiness")
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	agentAddress := []string{p.settings.AgentAddress()}
	subscriber := &feed.Subscriber{View: p.view, Addresses: func() []string { return agentAddress }, OnChange: p.update}
	go subscriber.Run(background)
	go periodic.Run(background, sweepEvery, p.hosts.sweep)
	go func() { _ = http.Serve(readiness, p.readinessRoutes()) }()
	server := p.newServer(http.HandlerFunc(p.serve))
	go func() { _ = server.Serve(p.guard.Listen(front)) }()
	<-ctx.Done()
	return p.stop(server)
}

// windowLength is how long after the first failure of a window the judge of the fleet is told.
const windowLength = 150 * time.Millisecond

// report tells the judge of the fleet what was seen of hosts.
func (p *Proxy) report() {
	p.agent.Send(controlclient.KindHostObservations, p.hosts.takeWindow().Encode())
}

// newServer makes the server for clients. Its requests end with the process's life, and its connections have to come from the
// guard.
func (p *Proxy) newServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return p.lifetime },
	}
	p.guard.Install(server)
	return server
}

// errStopping is why requests end with the process.
var errStopping = errors.New("the proxy is about to end")

// stop takes no more work once the platform sends none, and ends when the last answer has.
func (p *Proxy) stop(server *http.Server) error {
	p.stopping.Store(true)
	patience := p.settings.Bounds.Grace - graceMargin
	limit, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	defer time.AfterFunc(patience-lastAnswers, func() { p.endAll(errStopping) }).Stop()
	drain := min(drainFor, p.settings.Bounds.Grace/2)
	defer time.AfterFunc(time.Duration(float64(drain)*takeShare), func() { p.refusing.Store(true) }).Stop()
	select {
	case <-limit.Done():
	case <-time.After(drain):
	}
	err := server.Shutdown(limit)
	settled := make(chan struct{})
	go func() {
		p.work.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-limit.Done():
	}
	return err
}

// update follows the view. Routes come last: requests that waited for the first ones find hosts and shards.
func (p *Proxy) update(items []feed.Item) {
	p.hosts.update(items)
	p.programs.update(items)
	for _, item := range items {
		if item.Section == feed.SectionConfig && !item.Deleted {
			p.takeConfig(item.Data)
		}
	}
}

func (p *Proxy) takeConfig(data []byte) {
	version, body := state.SplitConfig(data)
	config, err := opconfig.Parse(body)
	if err != nil {
		p.log.WithField("code", uint16(codes.ConfigInvalid)).WithError(err).Error("a distributed configuration cannot be read; the one before stays")
		return
	}
	p.timeline.Reach(timeline.ViewReceived)
	if p.table.Swap(opconfig.NewTable(config)) == nil {
		close(p.tabled)
		p.outages.worked(needsView)
	}
	p.patience.follow(config)
	p.guard.SetHeadTimeout(time.Duration(config.Limits.HeaderTimeoutMS * float64(time.Millisecond)))
	p.log.WithField("version", version).Info("configuration in force")
}

func (p *Proxy) readinessRoutes() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if p.ready() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// ready tells whether the proxy can serve: it has a configuration and is not about to stop.
func (p *Proxy) ready() bool {
	return !p.stopping.Load() && p.table.Load() != nil && len(p.view.All(feed.SectionHost)) > 0
}

// problem is the body of an answer of the proxy's own.
type problem struct {
	Code  uint16 `json:"code"`
	Error string `json:"error"`
}

func (p *Proxy) failText(w http.ResponseWriter, status int, code codes.Code, text string) {
	body, _ := json.Marshal(problem{Code: uint16(code), Error: text})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (p *Proxy) fail(w http.ResponseWriter, status int, code codes.Code) {
	p.failText(w, status, code, code.Error())
}

// refuse promises that the request has not run and never will, and says when to come back: when what it needs is expected to be
// there.
func (p *Proxy) refuse(w http.ResponseWriter, code codes.Code, left, expected time.Duration) {
	delay := retryafter.Delay(left, expected, rand.Float64())
	w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	p.fail(w, http.StatusServiceUnavailable, code)
}

// serve takes one request.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	} else {
		w.Header().Set("Keep-Alive", idleTold)
	}
	id := r.Header.Get(headerRequestID)
	if id != "" {
		w.Header().Set(headerRequestID, id)
	}
	if p.refusing.Load() {
		p.refuse(w, codes.Stopping, clientTime(r.Header), 0) // other gateways are there now
		return
	}
	table := p.awaitTable(r.Context(), clientTime(r.Header))
	if table == nil {
		p.refuse(w, codes.NotReady, clientTime(r.Header), p.outages.remaining(needsView))
		return
	}
	route := table.Route(r.Host, r.URL.Path)
	patience, ok := patienceFor(route, r.Header)
	if !ok {
		p.failText(w, http.StatusBadRequest, codes.RequestMalformed, "X-Deadline-Ms is no number of milliseconds")
		return
	}
	deadline := arrived.Add(patience)
	body, read := p.readBody(w, r, table.Config.Limits, deadline)
	switch {
	case !read:
		return
	case route == nil:
		p.fail(w, http.StatusNotFound, codes.NoRoute)
		return
	case id == "":
		p.failText(w, http.StatusBadRequest, codes.RequestMalformed, "header X-Request-Id is missing: the answer could not be told from others")
		return
	}
	asked := &request{
		id: id, method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, body: body,
		route: route, service: route.PickService(rand.Float64()), arrived: arrived, deadline: deadline,
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	// a client that does not read must not hold a host for longer than one that does
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeMargin))
	if route.RouteType == opconfig.RouteStreaming {
		p.serveTurn(ctx, w, asked, table.Service(asked.service))
	} else {
		p.servePlain(ctx, w, asked)
	}
}

// patienceFor is how long a request may take: the route's time, or the client's if that is shorter.
func patienceFor(route *opconfig.Route, header http.Header) (patience time.Duration, ok bool) {
	patience = unroutedPatience
	if route != nil {
		patience = time.Duration(route.TimeoutMS * float64(time.Millisecond))
	}
	text := header.Get("X-Deadline-Ms")
	if text == "" {
		return patience, true
	}
	asked, ok := milliseconds(text)
	return min(patience, asked), ok
}

// readBody reads the whole request within the operator's limits and the request's own time.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, limits opconfig.Limits, deadline time.Time) ([]byte, bool) {
	if httpguard.HasAmbiguousLength(r) {
		w.Header().Set("Connection", "close")
		p.failText(w, http.StatusBadRequest, codes.RequestMalformed, "the body's length is told twice, or beside chunks")
		return nil, false
	}
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		p.fail(w, http.StatusRequestHeaderFieldsTooLarge, codes.HeadTooLarge)
		return nil, false
	}
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = maxAnswerBytes
	}
	if r.ContentLength == 0 {
		return nil, true
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, true
	}
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
	return nil, false
}

func headerBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + 4
		}
	}
	return total
}
