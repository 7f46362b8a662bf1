package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/gateway/operatorconfig"
)

const (
	timestampFormat  = "2006-01-02T15:04:05.000Z07:00"
	gcPercent        = 100 // with 400 the heap grew to 16 MB before the first garbage collection
	memoryLimitShare = 0.7 // Go memory limit as a fraction of the configured memory
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	zerolog.TimeFieldFormat = timestampFormat
	if err := run(log); err != nil {
		log.Error().Err(err).Msg("ended")
		os.Exit(1)
	}
}

// processSignals holds the channels of the signals that the gateway handles. Each kind has its own channel with a buffer of one,
// so that repeated signals of one kind don't displace the other, and a configuration that is replaced during a reload is read
// afterwards.
type processSignals struct {
	terminate chan os.Signal
	reload    chan os.Signal
}

// notifySignals starts to receive signals. From then on they no longer terminate the process by default.
func notifySignals() processSignals {
	s := processSignals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func (s processSignals) stop() {
	signal.Stop(s.terminate)
	signal.Stop(s.reload)
}

// run runs the gateway. It returns nil after a shutdown that was requested by a signal.
func run(log zerolog.Logger) error {
	signals := notifySignals()
	defer signals.stop()
	c, err := loadConfig()
	if err != nil {
		return err
	}
	operator, err := operatorconfig.Read()
	if err != nil {
		return err
	}
	c.Settings.MembershipShare, c.Settings.OverloadControl = operator.MembershipShare(), operator.Overload.Enabled
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return &configError{reason: fmt.Errorf("seed: %w", err)}
	}
	if c.Name != "" {
		log = log.With().Str("api_gateway", c.Name).Logger()
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * c.memoryBytes()))

	root, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(root)
	g, err := newGateway(ctx, group, log, c, operator, seed)
	if err != nil {
		return err
	}
	g.start(ctx)
	group.Go(func() error {
		g.handleSignals(ctx, signals, stop)
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	log.Info().Msg("ended")
	return nil
}
