// Command otterseam-tier runs one process of the serving tier: proxy, agent, control or store.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"otterseam/tier/agent"
	"otterseam/tier/control"
	"otterseam/tier/proxy"
	"otterseam/tier/settings"
	"otterseam/tier/store"
)

type roleCommand struct{}

type arguments struct {
	Proxy    *roleCommand `arg:"subcommand:proxy" help:"carry the traffic of clients, on a front machine"`
	Agent    *roleCommand `arg:"subcommand:agent" help:"keep the link to control and feed the proxy of this machine"`
	Control  *roleCommand `arg:"subcommand:control" help:"keep configuration, hosts and placement; serve operator and hosts"`
	Store    *roleCommand `arg:"subcommand:store" help:"hold budgets and kept turns of agent programs, on a storage machine"`
	LogLevel string       `arg:"--log-level,env:OTTERTIER_LOG_LEVEL" default:"info" help:"error, warn, info or debug"`
}

// Description tells what the program is, for --help.
func (arguments) Description() string {
	return "One process of the otterseam serving tier. " + settings.FileVariable + " names its settings file.\n" +
		"Exit codes: 0 ended as asked, 1 could not start or failed, 2 wrong arguments."
}

const (
	exitFailed = 1
	exitUsage  = 2
	gcPercent  = 60
)

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		fmt.Fprintln(os.Stderr, "otterseam-tier: a role is needed: proxy, agent, control or store (see --help)")
		os.Exit(exitUsage)
	}
	level, err := logrus.ParseLevel(args.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, "otterseam-tier: --log-level is not one of error, warn, info, debug")
		os.Exit(exitUsage)
	}
	debug.SetGCPercent(gcPercent)
	if err := run(args, level); err != nil {
		fmt.Fprintln(os.Stderr, "otterseam-tier: "+err.Error())
		os.Exit(exitFailed)
	}
}

func run(args arguments, level logrus.Level) error {
	s, err := settings.Load()
	if err != nil {
		return err
	}
	logger := logrus.New()
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := logger.WithField("node", s.Node)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // the settings file is read again when it is needed
	switch {
	case args.Proxy != nil:
		return runProxy(ctx, s, log)
	case args.Agent != nil:
		return runAgent(ctx, s, log)
	case args.Control != nil:
		return runControl(ctx, s, log)
	default:
		return runStore(ctx, s, log)
	}
}

func runProxy(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	p, err := proxy.New(s, log)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}

// runAgent keeps the agent up for as long as the proxy may need it.
func runAgent(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	a, err := agent.New(s, log)
	if err != nil {
		return err
	}
	outlive, cancel := context.WithCancel(context.Background())
	defer cancel()
	context.AfterFunc(ctx, func() { time.AfterFunc(s.Bounds.Grace-agentMargin, cancel) })
	return a.Run(outlive)
}

// agentMargin is how long before the platform would kill it the agent ends.
const agentMargin = 600 * time.Millisecond

func runControl(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	c, err := control.New(s, log)
	if err != nil {
		return err
	}
	return c.Run(ctx)
}

func runStore(ctx context.Context, s *settings.Settings, log *logrus.Entry) error {
	server, err := store.New(s, log)
	if err != nil {
		return err
	}
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-ctx.Done()
		server.Drain(serving)
		cancel()
	}()
	return server.Run(serving)
}
