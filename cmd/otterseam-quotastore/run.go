package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/quotastore/server"
)

const (
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
	bytesPerMB    = 1 << 20
	gcPercent     = 300
	heapShare     = 0.7 // soft limit of the heap, as a fraction of the memory limit of the process
)

type runCommand struct {
	clusterFlag
	Name           string  `required:"" help:"Which server of the list this is."`
	Dir            string  `help:"Directory for its data; without one, replicas alone keep it." placeholder:"DIR"`
	PeerAddress    string  `name:"peer" help:"Where it listens for servers and clients, if not as the list says." placeholder:"ADDRESS"`
	CounterAddress string  `name:"door" help:"Where it listens for callers of the counter's protocol, if not as the list says." placeholder:"ADDRESS"`
	Memory         float64 `default:"256" help:"Memory that it should stay within, in MB."`
}

// Run runs a server until a signal ends it or it fails.
func (c *runCommand) Run() error {
	reload := make(chan os.Signal, 4)
	signal.Notify(reload, syscall.SIGHUP) // before the server runs, so that an early signal is not lost; it is handled once the server runs
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	zerolog.TimeFieldFormat = logTimeFormat
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * c.Memory * bytesPerMB))
	signal.Ignore(syscall.SIGXFSZ) // a write beyond the file size limit then returns an error, which is handled
	config, err := c.read()
	if err != nil {
		return err
	}
	options := server.Options{
		Name: c.Name, Dir: c.Dir, PeerAddress: c.PeerAddress, CounterAddress: c.CounterAddress, MemoryBytes: int64(c.Memory * bytesPerMB),
	}
	s, err := server.New(config, options, log)
	if err != nil {
		return err
	}
	if err := c.serve(s, reload, log); err != nil {
		log.Error().Err(err).Msg("ended")
		return err
	}
	log.Info().Msg("ended")
	return nil
}

func (c *runCommand) serve(s *server.Server, reload <-chan os.Signal, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		defer stop()
		return s.Run(ctx)
	})
	group.Go(func() error {
		c.reloadOnSignal(ctx, reload, s, log)
		return nil
	})
	return group.Wait()
}

// reloadOnSignal reloads the configuration file on each signal until the context is done.
func (c *runCommand) reloadOnSignal(ctx context.Context, reload <-chan os.Signal, s *server.Server, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			config, err := c.read()
			if err != nil {
				log.Error().Err(err).Msg("configuration rejected")
				continue
			}
			s.Reconfigure(config)
		}
	}
}
