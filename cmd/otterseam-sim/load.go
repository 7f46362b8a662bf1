package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"otterseam/harness/sockets"
	"otterseam/sim/batch"
)

// maxLateness is the largest delay in sending a request, in seconds, before the machine is reported as too busy.
const maxLateness = 0.02

type loadCommand struct {
	dayArguments
	To []string `required:"" help:"Addresses of the api gateways on loopback, in their order." placeholder:"ADDR"`
}

func (c *loadCommand) Run(ctx context.Context, out *output) error {
	day, err := c.loadDay()
	if err != nil {
		return err
	}
	results, late, err := sockets.RunClients(ctx, day, c.Seed, c.To)
	if err != nil {
		return inputError{err}
	}
	if c.Keep != "" {
		if err := batch.WriteFile(c.Keep, results.Encode()); err != nil {
			return err
		}
	}
	if c.JSON {
		_, err := out.stdout.Write(results.Encode())
		return err
	}
	table := tabwriter.NewWriter(out.stdout, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "answers, from the intended time of sending\tcount\t50%\t90%\t99%\tmost\t")
	for _, name := range results.LatencyNames() {
		latency := results.Latency[name]
		fmt.Fprintf(table, "%s\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t\n", name, latency.Count, latency.P50, latency.P90, latency.P99, latency.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "%.0f first tries, %.0f in all; how tries ended: %s\n", results.FirstInvocations, results.Invocations, strings.Join(results.OutcomeSummary(), ", "))
	if late > maxLateness {
		fmt.Fprintf(out.stderr, "this machine was too busy: a try was sent %.0f ms late\n", 1000*late)
	}
	if results.Invocations > 0 && results.Outcomes["unreachable"] == results.Invocations {
		return errors.New("no api gateway could be reached")
	}
	return nil
}
