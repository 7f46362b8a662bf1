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

	"otterseam/tier/settings"
)

type roleCommand struct{}

type arguments struct {
	Proxy    *roleCommand `arg:"subcommand:proxy" help:"carry the traffic of clients, on a front machine"`
	Agent    *roleCommand `arg:"subcommand:agent" help:"keep the link to control and feed the proxy of this machine"`
	Control  *roleCommand `arg:"subcommand:control" help:"keep configuration, hosts and placement; serve operator and hosts"`
	Store    *roleCommand `arg:"subcommand:store" help:"hold budgets and kept turns of agent programs, on a storage machine"`
	LogLevel string       `arg:"--log-level,env:OTTERTIER_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"least severe level that is logged: error, warn, info or debug"`
}

// Description is printed by --help.
func (arguments) Description() string {
	return "Runs one process of the otterseam serving tier. " + settings.FileVariable + " names its settings file.\n" +
		"It logs JSON lines to standard error and ends on SIGTERM or SIGINT; SIGHUP is ignored.\n" +
		"Exit codes: 0 ended as asked, 1 could not start or failed, 2 wrong arguments."
}

// Exit codes; 0 is success.
const (
	exitFailed = 1
	exitUsage  = 2
)

// gcPercent is lower than Go's standard, so that a process needs less memory.
const gcPercent = 60

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

// run runs the role until it ends or a signal asks for that.
func run(args arguments, level logrus.Level) error {
	s, err := settings.Load()
	if err != nil {
		return err
	}
	log := newLogger(level).WithField("node", s.Node)
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

// newLogger logs JSON lines to standard error.
func newLogger(level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger
}
