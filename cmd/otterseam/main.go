// Command otterseam is the api gateway on sockets.
//
// This file owns what the process is given (environment, configuration, signals), its log, and the group in which
// all parts live and end. It must never know the protocol or decide anything.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/gateway/operatorconfig"
	"otterseam/gateway/overload"
	"otterseam/gateway/server"
	"otterseam/gateway/simprotocol"
)

// file is the configuration as it stands on disk.
type file struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Seed       string `json:"seed"`
	PeerListen string `json:"peer_listen"`
	Counter    string `json:"counter"`
	Limits     struct {
		Memory  float64 `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
	Peers    []string             `json:"peers"`
	PeersAll string               `json:"peers_all"`
	Known    server.Roster        `json:"known"`
	Settings simprotocol.Settings `json:"settings"`
}

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	if err := run(log); err != nil {
		log.Error().Err(err).Msg("ended")
		os.Exit(1)
	}
}

// read finds the configuration; what the environment says of addresses fills in what the file leaves out.
func read() (f file, err error) {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return f, errors.New("EDGE_CONFIG names no configuration")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return f, fmt.Errorf("configuration: %w", err)
	}
	if err = json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("configuration %s: %w", path, err)
	}
	if f.Name == "" {
		f.Name = os.Getenv("EDGE_NAME")
	}
	if f.Listen == "" {
		f.Listen = os.Getenv("EDGE_LISTEN")
	}
	if f.Discovery == "" {
		f.Discovery = os.Getenv("EDGE_DISCOVERY")
	}
	if f.Listen == "" || f.Discovery == "" || len(f.Settings.Operations) == 0 || f.Settings.Gateways < 1 {
		return f, fmt.Errorf("configuration %s: listen, discovery or settings are missing", path)
	}
	return f, nil
}

func run(log zerolog.Logger) error {
	// From here on no signal ends the process by itself. Each kind has a place of its own: however often one comes, the other
	// is not lost, and a configuration that is replaced while the one before is taken up is read after it.
	end, reread := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reread, syscall.SIGHUP)
	defer signal.Stop(end)
	defer signal.Stop(reread)
	f, err := read()
	if err != nil {
		return err
	}
	operator, err := operatorconfig.Read()
	if err != nil {
		return err
	}
	f.Settings.MembershipShare, f.Settings.OverloadControl = operator.MembershipShare(), operator.Overload.Enabled
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("configuration: seed: %w", err)
	}
	memory, sockets := f.Limits.Memory, f.Limits.Sockets
	if f.Name != "" {
		log = log.With().Str("api_gateway", f.Name).Logger()
	}
	if memory <= 0 {
		memory = 192
	}
	if sockets <= 0 {
		sockets = 1024
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(100) // at 400 the heap grew to 16 MB before the collector first ran
	debug.SetMemoryLimit(int64(0.7 * memory * (1 << 20)))
	// Of the descriptors a rest is kept for the counter, discovery, peers and the runtime.
	clientsMost, hostsMost := max(8, (sockets-40)*55/100), max(8, (sockets-40)*40/100)

	root, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(root)
	buffers := server.NewBufferPool(64, max(16, int(memory*(1<<20)/4/http1.MaxMessageBytes)))
	loop := server.NewEventLoop(log)
	module, err := f.Settings.NewPolicy(seed, loop)
	if err != nil {
		return err
	}
	peers, err := server.NewPeerSocket(loop, server.PeerOptions{Listen: f.PeerListen, Addrs: f.Peers, Self: f.Settings.Slot, Broadcast: f.PeersAll})
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	hosts := server.NewHostPool(ctx, group, loop, buffers, server.HostPoolOptions{
		MaxConns: hostsMost, ConnectTimeout: f.Settings.Caps.DialTimeout, IdleTimeout: f.Settings.Caps.IdleTimeout,
	})
	var counterBackoffs, discoveryBackoffs *overload.Backoffs
	if operator.Overload.Enabled {
		counterBackoffs = overload.DecorrelatedBackoffs(f.Settings.Gateways, seed)
		discoveryBackoffs = overload.DecorrelatedBackoffs(f.Settings.Gateways, seed+1)
	}
	counter := server.NewCounterClient(ctx, group, loop, server.CounterOptions{CallTimeout: f.Settings.Shared.CounterTimeout, Backoffs: counterBackoffs})
	store := operator.QuotaStore
	if len(store.Replicas) > 0 {
		server.NewStoreStream(ctx, group, loop, counter, server.StoreOptions{
			Servers: store.Replicas, FirstServer: f.Settings.Slot, Name: fmt.Sprintf("%s/%s", f.Name, f.Seed),
			Counts: store.Counters, Markers: store.Markers, Metering: store.Metering,
		})
	}
	discovery := server.NewDiscoveryClient(ctx, group, loop, log, server.DiscoveryOptions{Backoffs: discoveryBackoffs})
	clients, err := server.NewClientListener(ctx, group, loop, log, buffers, server.ClientOptions{
		Address: f.Listen, OperationLimit: f.Settings.Accepts, MaxConns: clientsMost,
		Ready: func() bool { return f.counter() == "" || counter.Attempted() },
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}

	if len(store.Replicas) == 0 || !store.Counters {
		counter.UseAddress(f.counter())
	}
	group.Go(func() error { return loop.Run(ctx, module, hosts, counter, peers) })
	group.Go(func() error { return peers.Read(ctx) })
	group.Go(func() error { return peers.Write(ctx) })
	discovery.UseSaved(ctx, f.Known) // before any client is taken
	discovery.Watch(f.Discovery)
	group.Go(clients.Accept)
	group.Go(clients.ReapIdle)
	log.Info().Str("listen", f.Listen).Int("hosts", len(f.Known.Servers)).Msg("up")
	shutdown := sync.OnceFunc(func() {
		group.Go(func() error {
			clients.Shutdown(longest(f.Settings) + 200*time.Millisecond)
			loop.WaitCounterIdle(ctx, 100*time.Millisecond)
			stop()
			return nil
		})
	})
	group.Go(func() error {
		defer clients.Close()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-reread:
				reload(ctx, log, loop, discovery)
			case s := <-end:
				log.Info().Str("signal", s.String()).Msg("ending")
				shutdown()
			}
		}
	})
	err = group.Wait()
	if err == nil {
		log.Info().Msg("ended")
	}
	return err
}

// counter is the address of the counter; "": there is none.
func (f *file) counter() string {
	if !f.Settings.Shared.Counter {
		return ""
	}
	return f.Counter
}

// reload takes up the addresses of a configuration that was replaced. One that can't be used changes nothing.
func reload(ctx context.Context, log zerolog.Logger, loop *server.EventLoop, discovery *server.DiscoveryClient) {
	f, err := read()
	if err == nil {
		_, err = netip.ParseAddrPort(f.Discovery)
	}
	if err == nil && f.counter() != "" {
		_, err = netip.ParseAddrPort(f.Counter)
	}
	if err != nil {
		log.Error().Err(err).Msg("new configuration not used")
		return
	}
	log.Info().Str("discovery", f.Discovery).Str("counter", f.counter()).Msg("new configuration")
	loop.UseAddresses(ctx, discovery, f.Discovery, f.counter())
}

// longest is for how long a client may still wait for an answer.
func longest(s simprotocol.Settings) time.Duration {
	most := 1.0
	for _, k := range s.Operations {
		most = max(most, k.Timeout)
	}
	return time.Duration(most * float64(time.Second))
}
