package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"otterseam/sim/placementsim"
)

type placementCommand struct {
	Gateways []int     `default:"30,100,300,410" help:"Numbers of gateways; each makes rows."`
	Load     []float64 `default:"0.7,0.85,0.95" help:"Requests as a share of what all slots can serve; each makes rows."`
	Policy   []string  `default:"own,fleet,home,omniscient" help:"Policies to compare: own, fleet, home, omniscient."`
	Hosts    int       `default:"122" help:"Number of hosts."`
	Zones    int       `default:"6" help:"Number of zones."`
	Slots    int       `default:"8" help:"Requests that a host serves at once."`
	Service  float64   `default:"0.5" help:"Mean time of a request on an idle host, in seconds."`
	Slowdown float64   `default:"0.5" help:"By how much longer a request takes on a full host, as a share."`
	Slow     float64   `default:"0" help:"Share of the hosts that take three times as long."`
	FailAt   float64   `default:"0" help:"When the preferred home of each zone fails, in seconds; 0: never."`
	Length   float64   `default:"10" help:"Length, in seconds."`
	Seed     uint64    `default:"1" help:"Seed of the random numbers."`
	JSON     bool      `name:"json" help:"Print the results as JSON."`
}

const (
	maxPlacementSize     = 5000 // gateways or hosts
	placementSimulations = 4    // run at once
)

func (c *placementCommand) Run(ctx context.Context, out *output) error {
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	results := make([]*placementsim.Result, len(scenarios))
	group, _ := errgroup.WithContext(ctx)
	group.SetLimit(placementSimulations)
	for i, scenario := range scenarios {
		group.Go(func() error {
			results[i] = placementsim.Run(scenario)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if c.JSON {
		return out.json(results)
	}
	return printPlacement(out, results)
}

// scenarios returns a scenario for each combination of a load, a number of gateways and a policy.
func (c *placementCommand) scenarios() ([]placementsim.Scenario, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	var scenarios []placementsim.Scenario
	for _, load := range c.Load {
		for _, gateways := range c.Gateways {
			for _, name := range c.Policy {
				policy, err := placementPolicy(name)
				if err != nil {
					return nil, err
				}
				scenarios = append(scenarios, placementsim.Scenario{
					Policy: policy, Gateways: gateways, Hosts: c.Hosts, Zones: c.Zones, Slots: c.Slots, Load: load, Service: c.Service,
					Slowdown: c.Slowdown, Duration: c.Length, Seed: c.Seed, HomesFailAt: c.FailAt, SlowHosts: c.Slow,
				})
			}
		}
	}
	return scenarios, nil
}

// check returns an error if the arguments are invalid.
func (c *placementCommand) check() error {
	if !c.hasValidHosts() || !c.hasValidTimes() {
		return inputError{errors.New("there must be 1 to 5000 hosts, at least one zone and one slot, no more zones than hosts, --service and --length greater than 0, --slow from 0 to 1 and --slowdown at least 0")}
	}
	tooFew := func(gateways int) bool { return gateways < 1 || gateways > maxPlacementSize }
	outOfRange := func(load float64) bool { return !(load > 0 && load <= 2) }
	if slices.ContainsFunc(c.Gateways, tooFew) || slices.ContainsFunc(c.Load, outOfRange) {
		return inputError{errors.New("there must be 1 to 5000 gateways and a load over 0 and up to 2")}
	}
	return nil
}

func (c *placementCommand) hasValidHosts() bool {
	return c.Hosts >= 1 && c.Hosts <= maxPlacementSize && c.Zones >= 1 && c.Zones <= c.Hosts && c.Slots >= 1
}

func (c *placementCommand) hasValidTimes() bool {
	return c.Service > 0 && c.Length > 0 && c.Slow >= 0 && c.Slow <= 1 && c.Slowdown >= 0
}

func placementPolicy(name string) (placementsim.Policy, error) {
	policies := []placementsim.Policy{
		placementsim.OwnKnowledge, placementsim.FleetKnowledge, placementsim.HomePlacement, placementsim.Omniscient,
	}
	for _, policy := range policies {
		if string(policy) == name {
			return policy, nil
		}
	}
	return "", inputError{fmt.Errorf("unknown policy %q; the policies are %v", name, policies)}
}

func printPlacement(out *output, results []*placementsim.Result) error {
	table := tabwriter.NewWriter(out.stdout, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "load\tgateways\tpolicy\trequests\twait mean\t50%\t99%\tbusiest/mean\tother zone\tmessages/s\tbytes/s\t")
	for _, r := range results {
		fmt.Fprintf(table, "%.2f\t%d\t%s\t%d\t%.4f s\t%.3f s\t%.3f s\t%.2f\t%.2f\t%.1f\t%.0f\t\n", r.Load, r.Gateways, r.Policy, r.Requests,
			r.WaitMean, r.WaitP50, r.WaitP99, r.BusiestToMean, r.RemoteShare, r.MessagesPerSecond, r.BytesPerSecond)
	}
	return table.Flush()
}
