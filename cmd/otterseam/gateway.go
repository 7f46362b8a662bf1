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
	largeBufferShare   = 4                      // large buffers may use 1/largeBufferShare of the memory
	shutdownSlack      = 200 * time.Millisecond // added to the longest client timeout during shutdown
	counterIdleTimeout = 100 * time.Millisecond // for releasing reservations at the counter during shutdown
)

// gateway holds the connected components of gateway/server. Its goroutines run in group.
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

// newGateway creates the components and opens the listener. Connections are accepted only after start.
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

// connectServices creates the clients of the counter, the quota store and discovery.
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

// start makes the gateway serve. It applies the saved host list before it accepts clients.
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

// handleSignals handles signals until ctx is done. It calls stop after a graceful shutdown.
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
		case s := <-signals.terminate:
			g.log.Info().Str("signal", s.String()).Msg("ending")
			shutdown()
		}
	}
}

// shutdown waits until all accepted requests are answered, and until the policy has released its reservations at the counter.
func (g *gateway) shutdown(ctx context.Context) {
	g.clients.Shutdown(g.config.longestTimeout() + shutdownSlack)
	g.loop.WaitCounterIdle(ctx, counterIdleTimeout)
}

// reload applies the addresses of a replaced configuration. An invalid configuration changes nothing.
func (g *gateway) reload(ctx context.Context) {
	c, err := loadConfig()
	if err == nil {
		err = c.checkAddresses()
	}
	if err != nil {
		g.log.Error().Err(err).Msg("failed to reload the configuration")
		return
	}
	g.log.Info().Str("discovery", c.Discovery).Str("counter", c.counterAddr()).Msg("configuration reloaded")
	g.loop.UseAddresses(ctx, g.discovery, c.Discovery, c.counterAddr())
}
