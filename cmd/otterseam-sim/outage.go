package main

// This file owns the command that plays days with an outage and says what all api gateways together did in it.

import (
	"context"
	"fmt"
	"slices"
	"text/tabwriter"

	"otterseam/sim/batch"
)

type outageCmd struct {
	Days    []string          `arg:"" help:"Days or files, with a trouble of kind silent."`
	Set     map[string]string `help:"Change keys of the days." placeholder:"KEY=VALUE"`
	Decider []string          `default:"module" help:"Who decides; several make a row each."`
	Seed    uint64            `default:"1" help:"First seed."`
	Seeds   int               `default:"3" help:"How many seeds."`
	Workers int               `help:"Days played at once; 0: one a core."`
	JSON    bool              `name:"json" help:"Write the figures as JSON."`
}

// outage is what happened in and after one.
type outage struct {
	Day         string  `json:"day"`
	Decider     string  `json:"decider"`
	Seed        uint64  `json:"seed"`
	Before      float64 `json:"before"`     // deliveries a second, mean of the ten seconds before
	Deliveries  float64 `json:"deliveries"` // in the silence
	Dials       float64 `json:"dials"`      // in it
	Amid        float64 `json:"amid"`       // deliveries in the second six tenths into it
	Back        int     `json:"back"`       // whole seconds after the return until 95% of the value served before is served
	Fell        float64 `json:"least"`      // least served in a second from there to the end, as a part of that before
	Mail        float64 `json:"mail"`       // messages sent in the day, each by as many as heard it
	Unfulfilled bool    `json:"never_back"`
	Breaks      int     `json:"breaks"`
}

// reckon looks at one day. The silence lies from one second to another.
func reckon(r *batch.Run) (o outage, err error) {
	i := slices.IndexFunc(r.Faults, func(t batch.Fault) bool { return t.Kind == "silent" })
	if i < 0 || r.Faults[i].At < 2 || r.Faults[i].Ends+1 >= r.Length {
		return o, fmt.Errorf("%s: a trouble of kind silent, from 2 s on and over before the day ends, is wanted", r.Day)
	}
	from, to := int(r.Faults[i].At), int(r.Faults[i].Ends+0.5)
	begin := max(1, from-10)
	o = outage{Day: r.Day, Decider: r.Decider, Seed: r.Seed, Breaks: r.ViolationCount, Mail: r.PeerMessages}
	served := 0.0
	for _, s := range r.Seconds[begin:from] {
		o.Before += s.Attempts / float64(from-begin)
		served += s.Served / float64(from-begin)
	}
	for _, s := range r.Seconds[from:to] {
		o.Deliveries += s.Attempts
		o.Dials += s.Dials
	}
	o.Amid = r.Seconds[from+(to-from)*6/10].Attempts
	end := min(len(r.Seconds), int(r.Length))
	o.Back, o.Unfulfilled = end-to, true
	for at := to; at < end; at++ {
		if r.Seconds[at].Served >= 0.95*served {
			o.Back, o.Unfulfilled, o.Fell = at-to, false, 1e9
			for _, s := range r.Seconds[at:end] {
				o.Fell = min(o.Fell, s.Served/served)
			}
			break
		}
	}
	return o, nil
}

func (c *outageCmd) Run(ctx context.Context, s *streams) error {
	if c.Seeds < 1 {
		return badInput{fmt.Errorf("at least one seed is wanted")}
	}
	var plans []batch.Plan
	for _, name := range c.Days {
		of := choose{Day: name, Set: c.Set}
		d, err := of.load()
		if err != nil {
			return err
		}
		for _, dec := range c.Decider {
			if err := decider(dec); err != nil {
				return err
			}
			for i := range c.Seeds {
				plans = append(plans, batch.Plan{Day: d, Decider: dec, Seed: c.Seed + uint64(i), Overrides: c.Set})
			}
		}
	}
	all, err := batch.RunAll(ctx, plans, c.Workers, s.progress("day", len(plans)))
	if err != nil {
		return err
	}
	var each []outage
	for _, r := range all {
		o, err := reckon(r)
		if err != nil {
			return badInput{err}
		}
		each = append(each, o)
	}
	if c.JSON {
		return s.json(each)
	}
	return c.table(s, each)
}

// table writes a row for each day and decider, over the seeds.
func (c *outageCmd) table(s *streams, each []outage) error {
	t := tabwriter.NewWriter(s.out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "day\tdecider\tseeds\tbefore/s\tin the silence\tdials\tamid\tback after, by seed\tleast then\trules broken\t")
	for len(each) > 0 {
		of := each[:c.Seeds]
		each = each[c.Seeds:]
		span := func(get func(o outage) float64) string {
			lo, hi := get(of[0]), get(of[0])
			for _, o := range of {
				lo, hi = min(lo, get(o)), max(hi, get(o))
			}
			return fmt.Sprintf("%.0f to %.0f", lo, hi)
		}
		var back []int
		least, broken := 1e9, 0
		for _, o := range of {
			back = append(back, o.Back)
			least, broken = min(least, o.Fell), broken+o.Breaks
		}
		slices.Sort(back)
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%v s\t%.2f\t%d\t\n", of[0].Day, of[0].Decider, c.Seeds, span(func(o outage) float64 { return o.Before }),
			span(func(o outage) float64 { return o.Deliveries }), span(func(o outage) float64 { return o.Dials }),
			span(func(o outage) float64 { return o.Amid }), back, least, broken)
	}
	return t.Flush()
}
