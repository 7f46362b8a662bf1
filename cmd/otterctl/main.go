// Command otterctl shows operators the state of a serving tier and checks files before they are used.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"otterseam/tier/codes"
	"otterseam/tier/opconfig"
	"otterseam/tier/settings"
	"otterseam/tier/status"
)

type statusCommand struct {
	Control []string      `arg:"--control,required" help:"addresses of control processes: machine and first internal port"`
	JSON    bool          `arg:"--json" help:"print JSON instead of tables"`
	Timeout time.Duration `arg:"--timeout" default:"3s" help:"how long to wait for an answer"`
}

type fileCommand struct {
	File string `arg:"positional,required" help:"the file to check"`
}

type explainCommand struct {
	Code string `arg:"positional,required" help:"the number of a result code, as in a log line"`
}

type arguments struct {
	Status        *statusCommand  `arg:"subcommand:status" help:"control, stores, shards and hosts of a running tier"`
	CheckConfig   *fileCommand    `arg:"subcommand:check-config" help:"check an operator's configuration (JSON) without sending it"`
	CheckSettings *fileCommand    `arg:"subcommand:check-settings" help:"check the settings file of a process"`
	Explain       *explainCommand `arg:"subcommand:explain" help:"what a result code means"`
}

// Description tells what the program is, for --help.
func (arguments) Description() string {
	return "Shows operators the state of a serving tier and checks files before they are used.\n" +
		"Exit codes: 0 done and sound, 1 a file is wrong or nobody answers, 2 wrong arguments."
}

const (
	exitWrong = 1
	exitUsage = 2
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
		os.Exit(exitWrong)
	}
}

func run(args arguments, out io.Writer) error {
	switch {
	case args.Status != nil:
		return showStatus(args.Status, out)
	case args.CheckConfig != nil:
		return checkConfig(args.CheckConfig.File, out)
	case args.CheckSettings != nil:
		return checkSettings(args.CheckSettings.File, out)
	default:
		return explain(args.Explain.Code, out)
	}
}

func explain(text string, out io.Writer) error {
	number, err := strconv.ParseUint(text, 10, 16)
	if err == nil {
		for _, row := range codes.Table {
			if row.Code == codes.Code(number) {
				fmt.Fprintf(out, "%d %s: %s\n", row.Code, row.Name, row.Meaning)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is no result code; docs/codes.md lists them", text)
}

func checkConfig(file string, out io.Writer) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	config, err := opconfig.Parse(body)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	fmt.Fprintf(out, "%s is sound: version %d, %d routes, %d services\n", file, config.Version, len(config.Routes), len(config.Services))
	return nil
}

func checkSettings(file string, out io.Writer) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s, err := settings.Parse(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	fmt.Fprintf(out, "%s is sound: node %s, role %s, zone %s, %d seeds\n", file, s.Node, s.Role, s.Zone, len(s.Seeds))
	return nil
}

func showStatus(command *statusCommand, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), command.Timeout)
	defer cancel()
	state, err := status.Read(ctx, command.Control)
	if err != nil {
		return fmt.Errorf("no control process at %v answers with a fresh state; wanted are machines with their first internal port,"+
			" not the port of the operator's HTTP calls: %w", command.Control, err)
	}
	if command.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(state)
	}
	return printTables(state, out)
}

func printTables(state status.Status, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "configuration\tversion %d\trevision %d\n\n", state.ConfigVersion, state.Revision)
	fmt.Fprintf(w, "CONTROL\tIDENTITY\tIN SYNC\tPRIMARY (epoch %d)\n", state.Control.Epoch)
	for _, member := range state.Control.Members {
		fmt.Fprintf(w, "%s\t%x\t%v\t%v\n", member.Address, member.ID, state.Control.IsInSync(member.ID), member.ID == state.Control.Primary)
	}
	for _, learner := range state.Control.Learners {
		fmt.Fprintf(w, "%s\t%x\tspare, no vote\tfalse\n", learner.Address, learner.ID)
	}
	name := state.ReplicaNames()
	printProtection(w, "control", status.ProtectionOfControl(state.Control, name))
	nodes := map[uint64]string{}
	fmt.Fprintf(w, "\nSTORE\tIDENTITY\tZONE\tADDRESS\n")
	for _, store := range state.Stores {
		nodes[store.Identity] = store.Node
		fmt.Fprintf(w, "%s\t%x\t%s\t%s\n", store.Node, store.Identity, store.Zone, store.Address)
	}
	fmt.Fprintf(w, "\nSHARD\tEPOCH\tPRIMARY\tIN SYNC\tREPLICAS\tBEARS\tWHY NOT MORE\n")
	for _, shard := range state.Shards {
		p := status.ProtectionOfShard(shard.View, name)
		fmt.Fprintf(w, "%d\t%d\t%s\t%d\t%d\t%d\t%s\n",
			shard.ID, shard.View.Epoch, nodes[shard.View.Primary], len(shard.View.InSync), len(shard.View.Replicas), p.ToleratedLosses, p.LimitedBy)
	}
	fmt.Fprintf(w, "\nHOST\tSERVICE\tZONE\tADDRESS\tSTATE\n")
	for _, host := range state.Hosts {
		condition := "ready"
		if host.Draining {
			condition = opconfig.StateDraining
		}
		if term, aside := state.Ejected[host.ID]; aside {
			condition += fmt.Sprintf(", set aside for %d ms", term)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", host.ID, host.Service, host.Zone, host.Address, condition)
	}
	fmt.Fprintf(w, "\nPROCESS\tRECOVERY: MILLISECONDS AFTER ITS START\n")
	for _, process := range state.Recovery {
		fmt.Fprintf(w, "%s\t%s\n", process.Address, steps(process))
	}
	return w.Flush()
}

// steps lists the steps of a recovery in the order in which they were reached.
func steps(process status.Recovery) string {
	names := slices.Collect(maps.Keys(process.AfterMS))
	slices.SortFunc(names, func(a, b string) int {
		if order := cmp.Compare(process.AfterMS[a], process.AfterMS[b]); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %d", name, process.AfterMS[name]))
	}
	return strings.Join(texts, ", ")
}

// printProtection tells how many losses a group bears.
func printProtection(w io.Writer, group string, p status.Protection) {
	fmt.Fprintf(w, "%s bears the loss of %d more: %s\n", group, p.ToleratedLosses, p.LimitedBy)
}
