package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/gateway/operatorconfig"
	"otterseam/gateway/overload"
	"otterseam/gateway/policy"
	"otterseam/gateway/server"
)

const (
	maxFreeBuffers     = 64
	minLargeBuffers    = 16
	largeBufferShare   = 4                      // one in so many bytes of memory may be large buffers
	shutdownSlack      = 200 * time.Millisecond // beyond the longest time that a client waits
	counterIdleTimeout = 100 * time.Millisecond // for what the policy gives back to the counter at the end
)

// gateway is the parts of gateway/server, wired. Its goroutines live in group.
type gateway struct {
	config    *config
	log       zerolog.Logger
	group     *errgroup.Group
	loop      *server.EventLoop
	policy    *policy.Gateway
	peers     *server.PeerSocket
	hosts     *server.HostPool
	counter   *server.CounterClient
	discovery *server.DiscoveryClient
	clients   *server.ClientListener
}

// newGateway makes the parts and opens the listener. Nothing is accepted before start.
func newGateway(ctx context.Context, group *errgroup.Group, log zerolog.Logger, c *config, operator operatorconfig.Config, seed uint64) (*gateway, error) {
	g := &gateway{config: c, log: log, group: group, loop: server.NewEventLoop(log)}
	memory := c.memoryBytes()
	buffers := server.NewBufferPool(maxFreeBuffers, max(minLargeBuffers, int(memory/largeBufferShare/http1.MaxMessageBytes)))
	maxClients, maxHostConns := c.maxConns()
	var err error
	g.policy, err = c.Settings.NewPolicy(seed, g.loop)
	if err != nil {
		return nil, err
	}
	g.peers, err = server.NewPeerSocket(g.loop, server.PeerOptions{
		Listen:    c.PeerListen,
		Addrs:     c.Peers,
		Self:      c.Settings.Slot,
		Broadcast: c.PeersAll,
	})
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	g.hosts = server.NewHostPool(ctx, group, g.loop, buffers, server.HostPoolOptions{
		MaxConns:       maxHostConns,
		ConnectTimeout: c.Settings.Caps.DialTimeout,
		IdleTimeout:    c.Settings.Caps.IdleTimeout,
	})
	g.connectServices(ctx, operator, seed)
	g.clients, err = server.NewClientListener(ctx, group, g.loop, log, buffers, server.ClientOptions{
		Address:        c.Listen,
		OperationLimit: c.Settings.Accepts,
		MaxConns:       maxClients,
		Ready:          func() bool { return c.counterAddr() == "" || g.counter.Attempted() },
	})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if len(operator.QuotaStore.Replicas) == 0 || !operator.QuotaStore.Counters {
		g.counter.UseAddress(c.counterAddr())
	}
	return g, nil
}

// connectServices makes the clients of the counter, the quota store and discovery.
func (g *gateway) connectServices(ctx context.Context, operator operatorconfig.Config, seed uint64) {
	settings := &g.config.Settings
	var counterBackoffs, discoveryBackoffs *overload.Backoffs
	if operator.Overload.Enabled {
		counterBackoffs = overload.DecorrelatedBackoffs(settings.Gateways, seed)
		discoveryBackoffs = overload.DecorrelatedBackoffs(settings.Gateways, seed+1)
	}
	g.counter = server.NewCounterClient(ctx, g.group, g.loop, server.CounterOptions{
		CallTimeout: settings.Shared.CounterTimeout,
		Backoffs:    counterBackoffs,
	})
	if store := operator.QuotaStore; len(store.Replicas) > 0 {
		server.NewStoreStream(ctx, g.group, g.loop, g.counter, server.StoreOptions{
			Servers:     store.Replicas,
			FirstServer: settings.Slot,
			Name:        fmt.Sprintf("%s/%s", g.config.Name, g.config.Seed),
			Counts:      store.Counters,
			Markers:     store.Markers,
			Metering:    store.Metering,
		})
	}
	g.discovery = server.NewDiscoveryClient(ctx, g.group, g.loop, g.log, server.DiscoveryOptions{Backoffs: discoveryBackoffs})
}

// start has the gateway serve. The saved list of hosts is taken over before any client is accepted.
func (g *gateway) start(ctx context.Context) {
	g.group.Go(func() error { return g.loop.Run(ctx, g.policy, g.hosts, g.counter, g.peers) })
	g.group.Go(func() error { return g.peers.Read(ctx) })
	g.group.Go(func() error { return g.peers.Write(ctx) })
	g.discovery.UseSaved(ctx, g.config.Known)
	g.discovery.Watch(g.config.Discovery)
	g.group.Go(g.clients.Accept)
	g.group.Go(g.clients.ReapIdle)
	g.log.Info().Str("listen", g.config.Listen).Int("hosts", len(g.config.Known.Servers)).Msg("up")
}

// handleSignals does what signals ask for until the gateway ends; stop ends it.
func (g *gateway) handleSignals(ctx context.Context, signals processSignals, stop func()) {
	defer g.clients.Close()
	shutdown := sync.OnceFunc(func() {
		g.group.Go(func() error {
			g.shutdown(ctx)
			stop()
			return nil
		})
	})
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals.reload:
			g.reload(ctx)
		case s := <-signals.end:
			g.log.Info().Str("signal", s.String()).Msg("ending")
			shutdown()
		}
	}
}

// shutdown answers what has been taken, and has the policy give back what it holds at the counter.
func (g *gateway) shutdown(ctx context.Context) {
	g.clients.Shutdown(g.config.longestTimeout() + shutdownSlack)
	g.loop.WaitCounterIdle(ctx, counterIdleTimeout)
}

// reload takes up the addresses of a configuration that was replaced. One that can't be used changes nothing.
func (g *gateway) reload(ctx context.Context) {
	c, err := loadConfig()
	if err == nil {
		err = c.checkAddresses()
	}
	if err != nil {
		g.log.Error().Err(err).Msg("new configuration not used")
		return
	}
	g.log.Info().Str("discovery", c.Discovery).Str("counter", c.counterAddr()).Msg("new configuration")
	g.loop.UseAddresses(ctx, g.discovery, c.Discovery, c.counterAddr())
}
