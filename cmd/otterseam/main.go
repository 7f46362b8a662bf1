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
	gcPercent        = 100 // at 400 the heap grew to 16 MB before the collector first ran
	memoryLimitShare = 0.7 // of the configured memory, which the collector holds to
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	zerolog.TimeFieldFormat = timestampFormat
	if err := run(log); err != nil {
		log.Error().Err(err).Msg("ended")
		os.Exit(1)
	}
}

// processSignals are those that the gateway hears. Each kind has a place of its own: however often one comes, the other is not
// lost, and a configuration that is replaced while the one before is taken up is read after it.
type processSignals struct {
	end    chan os.Signal
	reload chan os.Signal
}

// notifySignals begins to hear signals: from then on none ends the process by itself.
func notifySignals() processSignals {
	s := processSignals{end: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.end, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func (s processSignals) stop() {
	signal.Stop(s.end)
	signal.Stop(s.reload)
}

// run is the gateway's life. It returns nil once it has ended as it was told to.
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
