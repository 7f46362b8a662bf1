package main

// This file owns the command that plays membership alone.

import (
	"context"
	"fmt"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"otterseam/sim/membershipsim"
)

type memberCmd struct {
	Members []int     `default:"300" help:"How many api gateways; several make several plays."`
	Loss    []float64 `default:"0.01" help:"Part of the messages lost; several make several plays."`
	Length  float64   `default:"120" help:"Seconds."`
	Mail    float64   `default:"60" help:"Messages a second that one takes in."`
	Part    float64   `default:"0.1" help:"Of it for membership."`
	Delay   float64   `default:"0.005" help:"Mean time of a message on its way, in seconds."`
	Starved float64   `help:"Part of the members that runs for a tenth of the time."`
	Every   float64   `help:"Seconds between deaths of one member; 0: none dies."`
	Down    float64   `default:"8" help:"Seconds until a dead one is back with empty hands; 0: never."`
	MassAt  float64   `help:"When many die at once."`
	Mass    float64   `default:"0.7" help:"Part of them."`
	CutAt   float64   `help:"When a part is cut off from the others."`
	CutEnds float64   `help:"When the cut ends."`
	Cut     float64   `default:"0.5" help:"Part of them."`
	Seed    uint64    `default:"1" help:"Of the play."`
	JSON    bool      `name:"json" help:"Write the figures as JSON."`
}

func (c *memberCmd) Run(ctx context.Context, s *streams) error {
	var scenarios []membershipsim.Scenario
	for _, n := range c.Members {
		for _, loss := range c.Loss {
			if n < 1 || n > 4000 || loss < 0 || loss >= 1 || c.Length < 20 || c.Mail <= 0 || c.Part <= 0 {
				return badInput{fmt.Errorf("1 to 4000 members, a loss under 1, at least 20 s and mail over 0 are wanted")}
			}
			scenarios = append(scenarios, membershipsim.Scenario{
				Members: n, Loss: loss, Duration: c.Length, MessageRate: c.Mail, MembershipShare: c.Part, MeanDelay: c.Delay,
				StarvedShare: c.Starved, DeathInterval: c.Every, Downtime: c.Down, MassDeathAt: c.MassAt, MassDeathShare: c.Mass,
				PartitionAt: c.CutAt, PartitionEnds: c.CutEnds, PartitionShare: c.Cut, Seed: c.Seed,
			})
		}
	}
	results := make([]*membershipsim.Result, len(scenarios))
	group, _ := errgroup.WithContext(ctx)
	group.SetLimit(4)
	for i, scenario := range scenarios {
		group.Go(func() error {
			results[i] = membershipsim.Run(scenario)
			return nil
		})
	}
	group.Wait()
	if c.JSON {
		return s.json(results)
	}
	t := tabwriter.NewWriter(s.out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "members\tloss\tdeaths\tknown 50%\t99%\treached\tback 50%\t99%\taccused/h\tfalse/h\tmessages/s\tbytes/s\tdropped\twrong\tshares\tmass 90%\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%.2f\t%d\t%.2f s\t%.2f s\t%.4f\t%.2f s\t%.2f s\t%.1f\t%.0f\t%.2f\t%.0f\t%.4f\t%d\t%.3f\t%.2f s\t\n", r.Members, r.Loss, r.Deaths,
			r.DetectP50, r.DetectP99, r.DetectedShare, r.ReturnP50, r.ReturnP99, r.FalseAccusations, r.FalseDeaths, r.MessagesPerSecond,
			r.BytesPerSecond, r.DroppedShare, r.WrongBeliefs, r.MaxShares, r.MassDetect90)
	}
	return t.Flush()
}
