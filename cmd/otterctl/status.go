package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"otterseam/tier/opconfig"
	"otterseam/tier/status"
)

const columnGap = 2

// run reads the state of the tier and prints it.
func (c *statusCommand) run(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	state, err := status.Read(ctx, c.Control)
	if err != nil {
		return fmt.Errorf("no control process at %v answered with its state; give the addresses of machines with their first internal port,"+
			" not the port of the operator's HTTP API: %w", c.Control, err)
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(state)
	}
	return printTables(state, out)
}

// printTables prints the state as a sequence of tables.
func printTables(state status.Status, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(w, "configuration\tversion %d\trevision %d\n\n", state.ConfigVersion, state.Revision)
	printControl(w, state)
	printStores(w, state)
	printShards(w, state)
	printHosts(w, state)
	printRecoveries(w, state)
	return w.Flush()
}

func printControl(w io.Writer, state status.Status) {
	fmt.Fprintf(w, "CONTROL\tIDENTITY\tIN SYNC\tPRIMARY (epoch %d)\n", state.Control.Epoch)
	for _, member := range state.Control.Members {
		fmt.Fprintf(w, "%s\t%x\t%v\t%v\n", member.Address, member.ID, state.Control.IsInSync(member.ID), member.ID == state.Control.Primary)
	}
	for _, learner := range state.Control.Learners {
		fmt.Fprintf(w, "%s\t%x\tspare, no vote\tfalse\n", learner.Address, learner.ID)
	}
	protection := status.ProtectionOfControl(state.Control, state.ReplicaNames())
	fmt.Fprintf(w, "control bears the loss of %d more: %s\n", protection.ToleratedLosses, protection.LimitedBy)
}

func printStores(w io.Writer, state status.Status) {
	fmt.Fprintf(w, "\nSTORE\tIDENTITY\tZONE\tADDRESS\n")
	for _, store := range state.Stores {
		fmt.Fprintf(w, "%s\t%x\t%s\t%s\n", store.Node, store.Identity, store.Zone, store.Address)
	}
}

func printShards(w io.Writer, state status.Status) {
	nodes := map[uint64]string{}
	for _, store := range state.Stores {
		nodes[store.Identity] = store.Node
	}
	names := state.ReplicaNames()
	fmt.Fprintf(w, "\nSHARD\tEPOCH\tPRIMARY\tIN SYNC\tREPLICAS\tBEARS\tWHY NOT MORE\n")
	for _, shard := range state.Shards {
		protection := status.ProtectionOfShard(shard.View, names)
		fmt.Fprintf(w, "%d\t%d\t%s\t%d\t%d\t%d\t%s\n", shard.ID, shard.View.Epoch, nodes[shard.View.Primary],
			len(shard.View.InSync), len(shard.View.Replicas), protection.ToleratedLosses, protection.LimitedBy)
	}
}

func printHosts(w io.Writer, state status.Status) {
	fmt.Fprintf(w, "\nHOST\tSERVICE\tZONE\tADDRESS\tSTATE\n")
	for _, host := range state.Hosts {
		hostState := "ready"
		if host.Draining {
			hostState = opconfig.StateDraining
		}
		if milliseconds, ejected := state.Ejected[host.ID]; ejected {
			hostState += fmt.Sprintf(", set aside for %d ms", milliseconds)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", host.ID, host.Service, host.Zone, host.Address, hostState)
	}
}

func printRecoveries(w io.Writer, state status.Status) {
	fmt.Fprintf(w, "\nPROCESS\tRECOVERY: MILLISECONDS AFTER ITS START\n")
	for _, process := range state.Recovery {
		fmt.Fprintf(w, "%s\t%s\n", process.Address, recoverySteps(process))
	}
}

// recoverySteps returns the steps of a process's recovery, with their times, in the order in which they were reached.
func recoverySteps(process status.Recovery) string {
	names := slices.Collect(maps.Keys(process.AfterMS))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(process.AfterMS[a], process.AfterMS[b]), cmp.Compare(a, b))
	})
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %d", name, process.AfterMS[name]))
	}
	return strings.Join(texts, ", ")
}
