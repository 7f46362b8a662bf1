package main

import (
	"context"
	"errors"
	"fmt"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"otterseam/sim/membershipsim"
)

type memberCommand struct {
	Members []int     `default:"300" help:"Number of api gateways, 1 to 4000; several make several simulations."`
	Loss    []float64 `default:"0.01" help:"Part of the messages that is lost, under 1; several make several simulations."`
	Length  float64   `default:"120" help:"Seconds of virtual time, at least 20."`
	Mail    float64   `default:"60" help:"Messages a second that a member takes in."`
	Part    float64   `default:"0.1" help:"Part of these messages that membership may use."`
	Delay   float64   `default:"0.005" help:"Mean delay of a message, in seconds."`
	Starved float64   `help:"Part of the members that runs for only a tenth of the time."`
	Every   float64   `help:"Seconds between crashes of one member; 0: none crashes."`
	Down    float64   `default:"8" help:"Seconds until a crashed member is back, with no state; 0: never."`
	MassAt  float64   `help:"When many members crash at once, in seconds; 0: never."`
	Mass    float64   `default:"0.7" help:"Part of the members that crashes then."`
	CutAt   float64   `help:"When a partition of the network begins, in seconds; 0: never."`
	CutEnds float64   `help:"When the partition ends, in seconds."`
	Cut     float64   `default:"0.5" help:"Part of the members on one side of the partition."`
	Seed    uint64    `default:"1" help:"Seed of the random numbers."`
	JSON    bool      `name:"json" help:"Print the results as JSON."`
}

const (
	maxMembers            = 4000
	minMembershipLength   = 20 // seconds
	membershipSimulations = 4  // run at once
)

func (c *memberCommand) Run(ctx context.Context, out *output) error {
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	results := make([]*membershipsim.Result, len(scenarios))
	group, _ := errgroup.WithContext(ctx)
	group.SetLimit(membershipSimulations)
	for i, scenario := range scenarios {
		group.Go(func() error {
			results[i] = membershipsim.Run(scenario)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if c.JSON {
		return out.json(results)
	}
	return printMembership(out, results)
}

// scenarios returns a scenario for each combination of a number of members and a loss.
func (c *memberCommand) scenarios() ([]membershipsim.Scenario, error) {
	var scenarios []membershipsim.Scenario
	for _, members := range c.Members {
		for _, loss := range c.Loss {
			if members < 1 || members > maxMembers || loss < 0 || loss >= 1 || c.Length < minMembershipLength || c.Mail <= 0 || c.Part <= 0 {
				return nil, inputError{errors.New("--members must be 1 to 4000, --loss 0 or more and under 1, --length at least 20 s, and --mail and --part greater than 0")}
			}
			scenarios = append(scenarios, membershipsim.Scenario{
				Members: members, Loss: loss, Duration: c.Length, MessageRate: c.Mail, MembershipShare: c.Part, MeanDelay: c.Delay,
				StarvedShare: c.Starved, DeathInterval: c.Every, Downtime: c.Down, MassDeathAt: c.MassAt, MassDeathShare: c.Mass,
				PartitionAt: c.CutAt, PartitionEnds: c.CutEnds, PartitionShare: c.Cut, Seed: c.Seed,
			})
		}
	}
	return scenarios, nil
}

func printMembership(out *output, results []*membershipsim.Result) error {
	table := tabwriter.NewWriter(out.stdout, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "members\tloss\tdeaths\tknown 50%\t99%\treached\tback 50%\t99%\taccused/h\tfalse/h\tmessages/s\tbytes/s\tdropped\twrong\tshares\tmass 90%\t")
	for _, r := range results {
		fmt.Fprintf(table, "%d\t%.2f\t%d\t%.2f s\t%.2f s\t%.4f\t%.2f s\t%.2f s\t%.1f\t%.0f\t%.2f\t%.0f\t%.4f\t%d\t%.3f\t%.2f s\t\n", r.Members, r.Loss, r.Deaths,
			r.DetectP50, r.DetectP99, r.DetectedShare, r.ReturnP50, r.ReturnP99, r.FalseAccusations, r.FalseDeaths, r.MessagesPerSecond,
			r.BytesPerSecond, r.DroppedShare, r.WrongBeliefs, r.MaxShares, r.MassDetect90)
	}
	return table.Flush()
}
