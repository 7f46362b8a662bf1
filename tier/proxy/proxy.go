package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/feed"
	"otterseam/tier/httpguard"
	"otterseam/tier/limits"
	"otterseam/tier/memorybudget"
	"otterseam/tier/opconfig"
	"otterseam/tier/periodic"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

const (
	// expiryInterval is the interval between checks for idle connections to hosts that have expired.
	expiryInterval = time.Second
	// observationWindow is the delay between the first failure of a window and the report of the window to the fleet's outlier
	// detection.
	observationWindow = 150 * time.Millisecond
)

// Proxy is a proxy process.
type Proxy struct {
	settings *settings.Settings
	log      *logrus.Entry
	timeline *timeline.Timeline
	guard    httpguard.Guard

	probeGuard httpguard.Guard // of the connections of readiness probes

	view        *feed.View
	routes      atomic.Pointer[opconfig.Table] // nil before the first configuration
	routesReady chan struct{}                  // closed when the first routes are set

	hosts     *hostTable
	loads     *loadExchange
	programs  *programClient
	latencies *routeLatencies
	outages   *outageTracker
	outputs   outputSizes
	excesses  excessCounts
	responses *memorybudget.Budget // of the memory that is held for the responses of hosts
	agent     *rpc.Client          // receives the observations of hosts

	draining  atomic.Bool // not ready, so that the platform sends no more connections
	rejecting atomic.Bool // new requests are rejected
	// requestContext is the parent of all request contexts. cancelRequests cancels it, and with it the requests in flight.
	requestContext context.Context
	cancelRequests context.CancelCauseFunc
	// settlementContext is the parent of the contexts of background settlements, for which no client waits. It outlives the
	// requests.
	settlementContext context.Context
	settlements       sync.WaitGroup
}

// New returns a proxy. It fails if a required setting is missing.
func New(s *settings.Settings, log *logrus.Entry) (*Proxy, error) {
	required := map[string]string{"listen.front": s.ListenFront, "listen.readiness": s.ListenReadiness}
	if err := settings.Require(required); err != nil {
		return nil, err
	}
	processLimits := limits.Of(s)
	view := feed.NewView()
	outages := newOutageTracker()
	outages.recordFailure(dependencyView) // an outage until the first view is received
	p := &Proxy{
		settings:          s,
		log:               log,
		timeline:          timeline.New(log),
		view:              view,
		routesReady:       make(chan struct{}),
		programs:          newProgramClient(view, outages, processLimits.CommandBytes()),
		latencies:         newRouteLatencies(),
		outages:           outages,
		responses:         newResponseBudget(processLimits.HostBytes()),
		agent:             rpc.NewClient(s.AgentAddress(), nil),
		settlementContext: context.Background(),
	}
	p.hosts = newHostTable(s.Zone, func() { time.AfterFunc(observationWindow, p.reportObservations) })
	p.loads = newLoadExchange(s.Zone, p.hosts, p.programs.clients)
	p.limitClients(processLimits)
	p.requestContext, p.cancelRequests = context.WithCancelCause(context.Background())
	return p, nil
}

// Run serves until the context ends or a listener fails, and then shuts down gracefully. It returns the errors of the listener and of
// the shutdown.
func (p *Proxy) Run(ctx context.Context) error {
	front, err := net.Listen("tcp", p.settings.ListenFront)
	if err != nil {
		return oops.Wrapf(err, "listen.front")
	}
	readiness, err := net.Listen("tcp", p.settings.ListenReadiness)
	if err != nil {
		return errors.Join(oops.Wrapf(err, "listen.readiness"), front.Close())
	}
	return p.runWithListeners(ctx, front, readiness)
}

// runWithListeners serves clients on front and readiness probes on readiness, as Run does, and closes both listeners.
func (p *Proxy) runWithListeners(ctx context.Context, front, readiness net.Listener) error {
	// the background tasks continue during the shutdown, since requests in flight need them
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	p.startBackgroundTasks(background, &running)

	clients := p.newServer(http.HandlerFunc(p.serve))
	probes := p.newProbeServer()
	failed := make(chan error, 2)
	running.Add(2)
	go func() {
		defer running.Done()
		failed <- oops.Wrapf(ignoreServerClosed(clients.Serve(p.guard.Listen(front))), "listen.front")
	}()
	go func() {
		defer running.Done()
		failed <- oops.Wrapf(ignoreServerClosed(probes.Serve(p.probeGuard.Listen(readiness))), "listen.readiness")
	}()

	var serveErr error
	select {
	case <-ctx.Done():
	case serveErr = <-failed:
	}
	err := errors.Join(serveErr, p.shutdown(background, clients))
	cancel()
	err = errors.Join(err, probes.Close())
	running.Wait()
	return err
}

// startBackgroundTasks starts the goroutines that follow the view, exchange loads and close expired connections until the context
// ends.
func (p *Proxy) startBackgroundTasks(ctx context.Context, running *sync.WaitGroup) {
	agentAddress := []string{p.settings.AgentAddress()}
	subscriber := &feed.Subscriber{View: p.view, Addresses: func() []string { return agentAddress }, OnChange: p.update}
	running.Go(func() { p.loads.run(ctx) })
	running.Add(2)
	go func() {
		defer running.Done()
		subscriber.Run(ctx)
	}()
	go func() {
		defer running.Done()
		periodic.Run(ctx, expiryInterval, p.hosts.closeExpired)
	}()
}

// ignoreServerClosed returns nil for the error of a server that was shut down, and any other error unchanged.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// update applies changes of the view. It applies routes last, so that requests waiting for the first routes find hosts and shards.
func (p *Proxy) update(items []feed.Item) {
	p.hosts.update(items)
	p.programs.update(items)
	p.loads.update(p.view, items)
	for _, item := range items {
		if item.Section == feed.SectionConfig && !item.Deleted {
			p.applyConfig(item.Data)
		}
	}
}

// applyConfig applies an encoded configuration. If it is invalid, the previous configuration stays in effect.
func (p *Proxy) applyConfig(data []byte) {
	version, body := state.SplitConfig(data)
	config, err := opconfig.Parse(body)
	if err != nil {
		p.log.WithField("code", uint16(codes.ConfigInvalid)).WithError(err).Error("distributed configuration is invalid; the previous one stays in effect")
		return
	}
	p.timeline.Reach(timeline.ViewReceived)
	if p.routes.Swap(opconfig.NewTable(config)) == nil {
		close(p.routesReady)
		p.outages.recordSuccess(dependencyView)
	}
	p.latencies.retainRoutes(config)
	p.guard.SetHeadTimeout(milliseconds(config.Limits.HeaderTimeoutMS))
	if maxHeaderBytes := config.Limits.MaxHeaderBytes; maxHeaderBytes > 0 {
		p.guard.SetMaxHeadBytes(maxHeaderBytes + rawHeadOverhead)
	} else {
		p.guard.SetMaxHeadBytes(0)
	}
	p.log.WithField("version", version).Info("configuration applied")
}

// reportObservations sends this proxy's observations of hosts to the agent, which forwards them to the fleet's outlier detection.
func (p *Proxy) reportObservations() {
	p.agent.Send(controlclient.KindHostObservations, p.hosts.flushObservations().Encode())
}
