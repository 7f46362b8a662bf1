// Command otterseam-sim simulates a fleet of api gateways, the quota store and the serving tier, in virtual time and with real
// processes on loopback, and reports the effect of a change. Each subcommand is in a separate file.
//
// Exit codes: 0 success; 1 a rule was broken or a run failed; 2 wrong arguments or files, detected before anything is run.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

const programName = "otterseam-sim"

const description = "Simulates a fleet of api gateways that keep customers to their plans, the quota store and the serving tier, " +
	"in virtual time or with real processes on loopback. Exit codes: 0 success, 1 a rule was broken or a run failed, " +
	"2 wrong arguments or files."

// Exit codes; 0 is success.
const (
	exitFailed = 1
	exitUsage  = 2
)

// commandLine describes the command line for kong. Each field is a subcommand.
type commandLine struct {
	Run       runCommand       `cmd:"" help:"Simulate one day and print what became of it."`
	Compare   compareCommand   `cmd:"" help:"Simulate a day with several policies, or with an earlier build, on the same seeds."`
	Sweep     sweepCommand     `cmd:"" help:"Simulate a day over values of its keys and several seeds, on all cores."`
	Search    searchCommand    `cmd:"" help:"Look for the worst day within a day's ranges, then shrink it."`
	Report    reportCommand    `cmd:"" help:"Write kept results as one HTML page or as text."`
	Sockets   socketsCommand   `cmd:"" help:"Run a day in real time on loopback with api gateway processes, beside its simulation."`
	Standin   standinCommand   `cmd:"" help:"Serve stand-ins for a day's hosts, counter and discovery on loopback."`
	Fleet     fleetCommand     `cmd:"" help:"Run a script of faults between real processes on loopback, or list the scripts."`
	Member    memberCommand    `cmd:"" help:"Simulate membership alone, at any size, and print how fast failures are detected and at what cost."`
	Keepers   keepersCommand   `cmd:"" help:"Simulate replicas of the quota store over seeds and print which guarantees were broken."`
	Adds      addsCommand      `cmd:"" help:"Load a counter, or the quota store in its place, in open loop and print how fast it answers."`
	Takeover  takeoverCommand  `cmd:"" help:"Kill processes of the quota store and measure until others answer, or until a lost machine holds its replicas again."`
	Outage    outageCommand    `cmd:"" help:"Simulate days with an outage of all hosts and print what all api gateways together sent into it, and how soon they recovered."`
	Load      loadCommand      `cmd:"" help:"Send the requests of a day's customers to api gateways on loopback, in open loop."`
	Owndays   owndaysCommand   `cmd:"" help:"Generate days of disruptions for the serving tier, play them and shrink those that broke a rule."`
	Causes    causesCommand    `cmd:"" help:"Print where the programs of played days of the serving tier were lost, from the reports of the plays."`
	Placement placementCommand `cmd:"" help:"Simulate how gateways of the serving tier choose hosts, and print how long requests wait."`
	Days      daysCommand      `cmd:"" help:"List the days there are, or the keys of a day's file."`
}

// errRuleBroken is returned if a rule was broken. The subcommand has printed the details before.
var errRuleBroken = errors.New("a rule was broken")

// inputError is an error in the arguments or files given by the user. It leads to exitUsage.
type inputError struct{ error }

func (e inputError) Unwrap() error { return e.error }

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs one command line and returns the exit code.
func execute(args []string, stdout, stderr io.Writer) int {
	exited := -1 // the exit code that kong requests, as for --help
	parser, err := kong.New(&commandLine{}, kong.Name(programName), kong.Description(description), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the tags of commandLine are wrong
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", programName, err)
		return exitUsage
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	return exitCode(parsed.Run(&output{stdout: stdout, stderr: stderr}), stderr)
}

// exitCode prints the error of a subcommand and returns the exit code for it.
func exitCode(err error, stderr io.Writer) int {
	var input inputError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errRuleBroken):
		return exitFailed
	case errors.As(err, &input):
		fmt.Fprintln(stderr, input.error)
		return exitUsage
	}
	fmt.Fprintf(stderr, "%s: %v\n", programName, err)
	return exitFailed
}
