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
	"otterseam/tier/opconfig"
	"otterseam/tier/periodic"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

const (
	// expiryInterval is how often idle connections to hosts are looked through.
	expiryInterval = time.Second
	// observationWindow is how long after the first failure of a window the fleet's outlier detection is told of it.
	observationWindow = 150 * time.Millisecond
)

// Proxy is a proxy process.
type Proxy struct {
	settings *settings.Settings
	log      *logrus.Entry
	timeline *timeline.Timeline
	guard    httpguard.Guard

	view        *feed.View
	routes      atomic.Pointer[opconfig.Table] // nil before the first configuration
	routesReady chan struct{}                  // closed once there are routes

	hosts     *hostTable
	loads     *loadExchange
	programs  *programClient
	latencies *routeLatencies
	outages   *outageTracker
	agent     *rpc.Client // takes the observations of hosts

	draining  atomic.Bool // no longer ready: the platform is to send no more connections
	rejecting atomic.Bool // new requests are rejected
	// requestBase is the parent of the requests' contexts; cancelRequests ends those in flight.
	requestBase    context.Context
	cancelRequests context.CancelCauseFunc
	// settlementBase is the parent of the settlements that no client waits for; it outlives the requests.
	settlementBase context.Context
	settlements    sync.WaitGroup
}

// New makes a proxy.
func New(s *settings.Settings, log *logrus.Entry) (*Proxy, error) {
	required := map[string]string{"listen.front": s.ListenFront, "listen.readiness": s.ListenReadiness}
	if err := settings.Require(required); err != nil {
		return nil, err
	}
	view := feed.NewView()
	outages := newOutageTracker()
	outages.recordFailure(dependencyView) // until the first one has come
	p := &Proxy{
		settings:       s,
		log:            log,
		timeline:       timeline.New(log),
		view:           view,
		routesReady:    make(chan struct{}),
		programs:       newProgramClient(view, outages),
		latencies:      newRouteLatencies(),
		outages:        outages,
		agent:          rpc.NewClient(s.AgentAddress(), nil),
		settlementBase: context.Background(),
	}
	p.hosts = newHostTable(s.Zone, func() { time.AfterFunc(observationWindow, p.reportObservations) })
	p.loads = newLoadExchange(s.Zone, p.hosts, p.programs.clients)
	p.requestBase, p.cancelRequests = context.WithCancelCause(context.Background())
	return p, nil
}

// Run serves until the context ends or a listener fails, and then shuts down in order. The error is that of the listener or of the
// shutdown.
func (p *Proxy) Run(ctx context.Context) error {
	front, err := net.Listen("tcp", p.settings.ListenFront)
	if err != nil {
		return oops.Wrapf(err, "listen.front")
	}
	readiness, err := net.Listen("tcp", p.settings.ListenReadiness)
	if err != nil {
		return errors.Join(oops.Wrapf(err, "listen.readiness"), front.Close())
	}
	return p.runOn(ctx, front, readiness)
}

// runOn serves clients and probes on two listeners, which it closes.
func (p *Proxy) runOn(ctx context.Context, front, readiness net.Listener) error {
	// what serves the requests goes on during the shutdown
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	p.followView(background, &running)

	clients := p.newServer(http.HandlerFunc(p.serve))
	probes := &http.Server{Handler: p.readinessRoutes()}
	failed := make(chan error, 2)
	running.Add(2)
	go func() {
		defer running.Done()
		failed <- oops.Wrapf(ignoreServerClosed(clients.Serve(p.guard.Listen(front))), "listen.front")
	}()
	go func() {
		defer running.Done()
		failed <- oops.Wrapf(ignoreServerClosed(probes.Serve(readiness)), "listen.readiness")
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

// followView has the view and the idle connections kept up to date until the context ends.
func (p *Proxy) followView(ctx context.Context, running *sync.WaitGroup) {
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

// ignoreServerClosed drops the error of a server that was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// update follows the view. Routes come last: requests that waited for the first ones find hosts and shards.
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

// applyConfig takes an encoded configuration. One that cannot be read leaves the one before in force.
func (p *Proxy) applyConfig(data []byte) {
	version, body := state.SplitConfig(data)
	config, err := opconfig.Parse(body)
	if err != nil {
		p.log.WithField("code", uint16(codes.ConfigInvalid)).WithError(err).Error("a distributed configuration cannot be read; the one before stays")
		return
	}
	p.timeline.Reach(timeline.ViewReceived)
	if p.routes.Swap(opconfig.NewTable(config)) == nil {
		close(p.routesReady)
		p.outages.recordSuccess(dependencyView)
	}
	p.latencies.retainRoutes(config)
	p.guard.SetHeadTimeout(milliseconds(config.Limits.HeaderTimeoutMS))
	p.log.WithField("version", version).Info("configuration in force")
}

// reportObservations sends the fleet's outlier detection what this proxy saw of hosts.
func (p *Proxy) reportObservations() {
	p.agent.Send(controlclient.KindHostObservations, p.hosts.flushObservations().Encode())
}
