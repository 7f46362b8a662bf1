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

	"otterseam/tier/limits"
	"otterseam/tier/settings"
)

type roleCommand struct{}

type arguments struct {
	Proxy    *roleCommand `arg:"subcommand:proxy" help:"serve client traffic, on a front machine"`
	Agent    *roleCommand `arg:"subcommand:agent" help:"connect to control and provide the proxy of this machine with its data"`
	Control  *roleCommand `arg:"subcommand:control" help:"manage configuration, hosts and placement; serve operators and hosts"`
	Store    *roleCommand `arg:"subcommand:store" help:"store budgets and retained turns of agent programs, on a storage machine"`
	LogLevel string       `arg:"--log-level,env:OTTERTIER_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"lowest level that is logged: error, warn, info or debug"`
}

// Description returns the text that --help prints.
func (arguments) Description() string {
	return "Runs one process of the otterseam serving tier. " + settings.FileVariable + " contains the path of its settings file.\n" +
		"It logs JSON lines to standard error and ends on SIGTERM or SIGINT; SIGHUP is ignored.\n" +
		"Exit codes: 0 stopped by a signal, 1 could not start or failed, 2 invalid arguments."
}

// Exit codes; 0 is success.
const (
	exitFailed = 1
	exitUsage  = 2
)

// gcPercent is the garbage collection percentage (GOGC). It is lower than Go's default of 100, so that a process needs less memory.
const gcPercent = 60

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		fmt.Fprintln(os.Stderr, "otterseam-tier: a role is required: proxy, agent, control or store (see --help)")
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

// run runs the role until it fails or has stopped after SIGTERM or SIGINT.
func run(args arguments, level logrus.Level) error {
	s, err := settings.Load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(limits.Of(s).RuntimeBytes())
	log := newLogger(level).WithField("node", s.Node)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // no reload signal is needed: the settings file is read again when needed
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

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger
}
