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
	heapShare     = 0.7 // of the memory that the process should stay within
)

type runCommand struct {
	clusterFlag
	Name           string  `required:"" help:"Which server of the list this is."`
	Dir            string  `help:"Directory for its data; without one, replicas alone keep it." placeholder:"DIR"`
	PeerAddress    string  `name:"peer" help:"Where it listens for servers and clients, if not as the list says." placeholder:"ADDRESS"`
	CounterAddress string  `name:"door" help:"Where it listens for callers of the counter's protocol, if not as the list says." placeholder:"ADDRESS"`
	Memory         float64 `default:"256" help:"Memory that it should stay within, in MB."`
}

// Run runs a server until a signal ends it, or it can't go on.
func (c *runCommand) Run() error {
	reload := make(chan os.Signal, 4)
	signal.Notify(reload, syscall.SIGHUP) // from the start: one that comes before the server runs is taken up once it does
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	zerolog.TimeFieldFormat = logTimeFormat
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * c.Memory * bytesPerMB))
	signal.Ignore(syscall.SIGXFSZ) // a file that can't grow is an error of the write, which is handled
	config, err := c.read()
	if err != nil {
		return err
	}
	options := server.Options{Name: c.Name, Dir: c.Dir, PeerAddress: c.PeerAddress, CounterAddress: c.CounterAddress}
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
		c.reloadOn(ctx, reload, s, log)
		return nil
	})
	return group.Wait()
}

// reloadOn has the server take up its configuration file with each signal, until the context ends.
func (c *runCommand) reloadOn(ctx context.Context, reload <-chan os.Signal, s *server.Server, log zerolog.Logger) {
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
