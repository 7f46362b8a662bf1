// Command otterctl shows the state of a serving tier to operators and validates configuration and settings files.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"
)

type statusCommand struct {
	Control []string      `arg:"--control,required" placeholder:"HOST:PORT" help:"addresses of control processes, each a machine and its first internal port; separate several by spaces"`
	JSON    bool          `arg:"--json" help:"print JSON instead of tables"`
	Timeout time.Duration `arg:"--timeout" default:"3s" help:"how long to wait for an answer, with a unit (500ms, 3s)"`
}

type checkConfigCommand struct {
	File string `arg:"positional,required" help:"an operator's configuration, in JSON"`
}

type checkSettingsCommand struct {
	File string `arg:"positional,required" help:"the settings file of a process, with lines of the form key=value"`
}

type explainCommand struct {
	Code string `arg:"positional,required" help:"the number of a result code, as in a log line"`
}

type arguments struct {
	Status        *statusCommand        `arg:"subcommand:status" help:"show control, stores, shards and hosts of a running tier"`
	CheckConfig   *checkConfigCommand   `arg:"subcommand:check-config" help:"validate an operator's configuration (JSON) without sending it"`
	CheckSettings *checkSettingsCommand `arg:"subcommand:check-settings" help:"validate the settings file of a process"`
	Explain       *explainCommand       `arg:"subcommand:explain" help:"print the meaning of a result code"`
}

// Description returns the text that --help prints.
func (arguments) Description() string {
	return "Shows the state of a serving tier and validates configuration and settings files.\n" +
		"Exit codes: 0 success, 1 invalid file or no answer, 2 invalid arguments."
}

// Exit codes; 0 is success.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	if err := run(args, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "otterctl: "+err.Error())
		os.Exit(exitFailed)
	}
}

// run executes the subcommand and prints to out.
func run(args arguments, out io.Writer) error {
	switch {
	case args.Status != nil:
		return args.Status.run(out)
	case args.CheckConfig != nil:
		return args.CheckConfig.run(out)
	case args.CheckSettings != nil:
		return args.CheckSettings.run(out)
	default:
		return args.Explain.run(out)
	}
}
