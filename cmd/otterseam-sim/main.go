// Command otterseam-sim is the laboratory: it plays days with the deciding module and others, looks for the worst, and says in
// figures and pictures what a change does.
//
// This file owns the command line, its exit codes and its streams. It must never reckon.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"
)

// line is the command line.
type line struct {
	Run      runCmd      `cmd:"" help:"Play one day and say what became of it."`
	Compare  compareCmd  `cmd:"" help:"Play a day with several deciders, or with an earlier build, on the same seeds."`
	Sweep    sweepCmd    `cmd:"" help:"Play a day over values of its keys and several seeds, on all cores."`
	Search   searchCmd   `cmd:"" help:"Look for the worst day within a day's ranges, then shrink it."`
	Report   reportCmd   `cmd:"" help:"Write results that were kept as one HTML page or as text."`
	Sockets  socketsCmd  `cmd:"" help:"Play a day in real time on loopback, with api gateway processes, beside the model."`
	Standin  standinCmd  `cmd:"" help:"Stand in for a day's hosts, counter and discovery on loopback."`
	Fleet    fleetCmd    `cmd:"" help:"Play a script of faults between real processes on loopback, or list the scripts."`
	Member   memberCmd   `cmd:"" help:"Play membership alone, at any size, and say what it finds, how fast and at what cost."`
	Keepers  keepersCmd  `cmd:"" help:"Play keepers on a simulated network over seeds, and say what of their promises was broken."`
	Adds     addsCmd     `cmd:"" help:"Load a counter, or keepers in its place, in open loop, and say how fast it answers."`
	Takeover takeoverCmd `cmd:"" help:"Kill keepers on real processes and measure until others answer, or until a lost machine holds its part again."`
	Outage   outageCmd   `cmd:"" help:"Play days with an outage of all hosts and say what all api gateways together did in it, and how soon they came back."`
	Load     loadCmd     `cmd:"" help:"Let a day's customers ask api gateways on loopback, in open loop."`
	Owndays  owndaysCmd  `cmd:"" help:"Generate days of the serving tier, play them and shrink those that broke a rule."`
	Causes   causesCmd   `cmd:"" help:"Where the programs of played days of the serving tier were lost, from the reports of the plays."`
	Days     daysCmd     `cmd:"" help:"List the days there are, or the form of a day's file."`
}

// errBroken is returned where a rule was broken: exit code 1.
var errBroken = errors.New("a rule was broken")

func main() { os.Exit(do(os.Args[1:], os.Stdout, os.Stderr)) }

// do carries out one command line and gives the exit code: 0, 1 where a rule was broken or a run failed, 2 for bad input.
func do(args []string, out, errs io.Writer) (code int) {
	var l line
	exited := -1
	parser, err := kong.New(&l, kong.Name("otterseam-sim"), kong.Description("A laboratory for api gateways that keep customers to their plans."),
		kong.Writers(out, errs), kong.Exit(func(c int) { exited = c }), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the command line's own form is wrong
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(errs, "otterseam-sim:", err)
		return 2
	}
	k.BindTo(ctx, (*context.Context)(nil))
	err = k.Run(&streams{out, errs})
	var bad badInput
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errBroken):
		return 1
	case errors.As(err, &bad):
		fmt.Fprintln(errs, bad.error)
		return 2
	}
	fmt.Fprintln(errs, "otterseam-sim:", err)
	return 1
}

type streams struct{ out, errs io.Writer }

// json writes figures for other programs.
func (s *streams) json(figures any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", " ")
	return e.Encode(figures)
}

// badInput is what the user can mend.
type badInput struct{ error }

// progress says how far long work is, where somebody looks.
func (s *streams) progress(what string, all int) func(n int) {
	f, ok := s.errs.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return func(int) {}
	}
	return func(n int) {
		fmt.Fprintf(f, "\r%s: %d of %d ", what, n, all)
		if n >= all {
			fmt.Fprint(f, "\r\033[K")
		}
	}
}
