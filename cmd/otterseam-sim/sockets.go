package main

// This file owns the commands that play in real time on loopback.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"otterseam/harness/sockets"
	"otterseam/sim/batch"
)

type socketsCmd struct {
	choose
	Gateway string  `default:"bin/otterseam" help:"The program of the api gateway."`
	Memory  float64 `default:"64" help:"Memory limit that the api gateways are told, in MB."`
	Dir     string  `help:"Folder for configurations and logs; without it they go when it is over." placeholder:"DIR"`
	Model   bool    `default:"true" negatable:"" help:"Play the same day by the model as well."`
}

func (c *socketsCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	if err := sockets.Check(d.Draw(c.Seed)); err != nil {
		return badInput{err}
	}
	if _, err := os.Stat(c.Gateway); err != nil {
		return badInput{fmt.Errorf("the api gateway's program: %w (make build makes it)", err)}
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "otterseam-sim-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	f, w, err := sockets.Play(ctx, d, c.Seed, sockets.Options{
		Gateway: c.Gateway, Dir: dir, MemoryMB: c.Memory,
		Report: func(t string) { fmt.Fprintln(s.errs, t) },
	})
	if err != nil {
		return err
	}
	rs := []*batch.Run{batch.NewRun(batch.Plan{Day: d, Decider: "sockets", Seed: c.Seed, Overrides: c.Set}, w, f)}
	if c.Model {
		r, _, err := batch.RunOne(batch.Plan{Day: d, Decider: "module", Seed: c.Seed, Overrides: c.Set})
		if err != nil {
			return err
		}
		rs = append(rs, r)
	}
	if err := c.tell(s, d.Name+" on sockets", rs); err != nil {
		return err
	}
	return judge(rs)
}

type standinCmd struct {
	Day    string            `arg:"" help:"A day's name or file."`
	Set    map[string]string `help:"Change keys of the day." placeholder:"KEY=VALUE"`
	Seed   uint64            `default:"1" help:"Of the day."`
	Dir    string            `required:"" help:"Folder for the api gateways' configurations." placeholder:"DIR"`
	Listen []string          `help:"Where the api gateways listen; free addresses for those that are not named." placeholder:"ADDR"`
}

func (c *standinCmd) Run(ctx context.Context, s *streams) error {
	d, err := (&choose{Day: c.Day, Set: c.Set}).load()
	if err != nil {
		return err
	}
	if err := sockets.Check(d.Draw(c.Seed)); err != nil {
		return badInput{err}
	}
	f, err := sockets.RunStandIns(ctx, d, c.Seed, c.Dir, c.Listen, func(paths []string) {
		fmt.Fprintf(s.out, "hosts, counter and discovery of %s stand on loopback for %.0f s; start each api gateway with\n", d.Name, d.Length.V())
		for _, p := range paths {
			fmt.Fprintf(s.out, "  EDGE_CONFIG=%s bin/otterseam\n", p)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "hosts got %.0f deliveries and %.0f new connections, the counter %.0f calls; value sent on %.0f, beyond quotas %.0f; rules broken %d\n",
		f.Attempts, f.Dials, f.CounterCalls, f.Total.FirstSent, f.Total.BeyondQuota, f.ViolationCount)
	for _, b := range f.Violations {
		fmt.Fprintln(s.out, b)
	}
	if f.ViolationCount > 0 {
		return errBroken
	}
	return nil
}

type loadCmd struct {
	choose
	To []string `required:"" help:"Addresses of the api gateways, in their order." placeholder:"ADDR"`
}

func (c *loadCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	f, late, err := sockets.RunClients(ctx, d, c.Seed, c.To)
	if err != nil {
		return badInput{err}
	}
	if c.Keep != "" {
		if err := batch.WriteFile(c.Keep, f.Encode()); err != nil {
			return err
		}
	}
	if c.JSON {
		_, err := s.out.Write(f.Encode())
		return err
	}
	t := tabwriter.NewWriter(s.out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "answers, from the intended time of sending\tcount\t50%\t90%\t99%\tmost\t")
	for _, name := range f.LatencyNames() {
		l := f.Latency[name]
		fmt.Fprintf(t, "%s\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t\n", name, l.Count, l.P50, l.P90, l.P99, l.Max)
	}
	t.Flush()
	fmt.Fprintf(s.out, "%.0f first tries, %.0f in all; how tries ended: %s\n", f.FirstInvocations, f.Invocations, strings.Join(f.OutcomeSummary(), ", "))
	if late > 0.02 {
		fmt.Fprintf(s.errs, "this machine was too busy: a try was sent %.0f ms late\n", 1000*late)
	}
	if f.Invocations > 0 && f.Outcomes["unreachable"] == f.Invocations {
		return errors.New("no api gateway could be reached")
	}
	return nil
}
