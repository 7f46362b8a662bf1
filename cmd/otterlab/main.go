// Command otterlab is the laboratory: it plays days with the deciding module and others, looks for the worst, and says in
// figures and pictures what a change does.
//
// This file owns the command line. It must never reckon.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"

	"otterseam/lab/day"
	"otterseam/lab/days"
	"otterseam/lab/play"
	"otterseam/lab/report"
	"otterseam/lab/runs"
	"otterseam/lab/search"
)

// line is the command line.
type line struct {
	Run      runCmd      `cmd:"" help:"Play one day and say what became of it."`
	Compare  compareCmd  `cmd:"" help:"Play a day with several deciders, or with an earlier build, on the same seeds."`
	Sweep    sweepCmd    `cmd:"" help:"Play a day over values of its keys and several seeds, on all cores."`
	Search   searchCmd   `cmd:"" help:"Look for the worst day within a day's ranges, then shrink it."`
	Report   reportCmd   `cmd:"" help:"Write results that were kept as one HTML page or as text."`
	Sockets  socketsCmd  `cmd:"" help:"Play a day in real time on loopback, with api gateway processes, beside the model."`
	Standin  standinCmd  `cmd:"" help:"Stand in for a day's hosts, counter and discovery on loopback."`
	Fleet    fleetCmd    `cmd:"" help:"Play a script of faults between real processes on loopback, or list the scripts."`
	Member   memberCmd   `cmd:"" help:"Play membership alone, at any size, and say what it finds, how fast and at what cost."`
	Keepers  keepersCmd  `cmd:"" help:"Play keepers on a simulated network over seeds, and say what of their promises was broken."`
	Adds     addsCmd     `cmd:"" help:"Load a counter, or keepers in its place, in open loop, and say how fast it answers."`
	Takeover takeoverCmd `cmd:"" help:"Kill keepers on real processes and measure until others answer, or until a lost machine holds its part again."`
	Outage   outageCmd   `cmd:"" help:"Play days with an outage of all hosts and say what all api gateways together did in it, and how soon they came back."`
	Load     loadCmd     `cmd:"" help:"Let a day's customers ask api gateways on loopback, in open loop."`
	Owndays  owndaysCmd  `cmd:"" help:"Generate days of the serving tier, play them and shrink those that broke a rule."`
	Days     daysCmd     `cmd:"" help:"List the days there are, or the form of a day's file."`
}

// errBroken is returned where a rule was broken: exit code 1.
var errBroken = errors.New("a rule was broken")

func main() { os.Exit(do(os.Args[1:], os.Stdout, os.Stderr)) }

// do carries out one command line and gives the exit code: 0, 1 where a rule was broken or a run failed, 2 for bad input.
func do(args []string, out, errs io.Writer) (code int) {
	var l line
	exited := -1
	parser, err := kong.New(&l, kong.Name("otterlab"), kong.Description("A laboratory for api gateways that keep customers to their plans."),
		kong.Writers(out, errs), kong.Exit(func(c int) { exited = c }), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the command line's own form is wrong
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(errs, "otterlab:", err)
		return 2
	}
	k.BindTo(ctx, (*context.Context)(nil))
	err = k.Run(&streams{out, errs})
	var bad badInput
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errBroken):
		return 1
	case errors.As(err, &bad):
		fmt.Fprintln(errs, bad.error)
		return 2
	}
	fmt.Fprintln(errs, "otterlab:", err)
	return 1
}

type streams struct{ out, errs io.Writer }

// json writes figures for other programs.
func (s *streams) json(figures any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", " ")
	return e.Encode(figures)
}

// badInput is what the user can mend.
type badInput struct{ error }

// progress says how far long work is, where somebody looks.
func (s *streams) progress(what string, all int) func(n int) {
	f, ok := s.errs.(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) {
		return func(int) {}
	}
	return func(n int) {
		fmt.Fprintf(f, "\r%s: %d of %d ", what, n, all)
		if n >= all {
			fmt.Fprint(f, "\r\033[K")
		}
	}
}

// choose is what all commands that play a day take.
type choose struct {
	Day     string            `arg:"" help:"A day's name (see otterlab days) or file."`
	Set     map[string]string `help:"Change keys of the day, as in counter.capacity=900/s." placeholder:"KEY=VALUE"`
	Seed    uint64            `default:"1" help:"First seed."`
	Workers int               `help:"Days played at once; 0: one a core."`
	JSON    bool              `name:"json" help:"Write the figures as JSON."`
	Keep    string            `help:"Keep the results in this file, for report." placeholder:"FILE"`
	Report  string            `help:"Write a page with pictures to this file." placeholder:"FILE.html"`
}

func (c *choose) load() (*day.Day, error) {
	d, err := days.Load(c.Day)
	if err != nil {
		return nil, badInput{err}
	}
	if err := change(d, c.Set); err != nil {
		return nil, err
	}
	for _, f := range []string{c.Keep, c.Report} {
		if err := runs.Writable(f); err != nil {
			return nil, badInput{fmt.Errorf("no result could be written: %w", err)}
		}
	}
	return d, nil
}

func change(d *day.Day, set map[string]string) error {
	for _, key := range slices.Sorted(maps.Keys(set)) { // faults come in the same order each time
		if err := d.Set(key, set[key]); err != nil {
			return badInput{err}
		}
	}
	return nil
}

// seeds plans a day for so many seeds, from the first on; at least one.
func (c *choose) seeds(d *day.Day, decider string, over map[string]string, n int) (plans []runs.Plan) {
	for i := range max(1, n) {
		plans = append(plans, runs.Plan{Day: d, Decider: decider, Seed: c.Seed + uint64(i), Over: over})
	}
	return plans
}

// tell writes results in the forms that were asked for.
func (c *choose) tell(s *streams, title string, rs []*runs.Run) error {
	if c.Keep != "" {
		if err := runs.Save(c.Keep, rs); err != nil {
			return err
		}
	}
	if c.Report != "" {
		b, err := report.HTML(title, rs)
		if err != nil {
			return err
		}
		if err := runs.Put(c.Report, b); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := s.json(rs); err != nil {
			return err
		}
	} else {
		if err := report.Text(s.out, rs); err != nil {
			return err
		}
	}
	return nil
}

func judge(rs []*runs.Run) error {
	for _, r := range rs {
		if r.Breaks > 0 {
			return errBroken
		}
	}
	return nil
}

func decider(name string) error {
	if strings.HasPrefix(name, "wire:") {
		if _, err := os.Stat(strings.TrimPrefix(name, "wire:")); err != nil {
			return badInput{err}
		}
		return nil
	}
	if _, err := runs.Decider(name); err != nil {
		return badInput{err}
	}
	return nil
}

type runCmd struct {
	choose
	Decider string `default:"module" help:"Who decides: module, random, share, design, omniscient or wire:PATH."`
	Ref     string `help:"Tell the story of this invocation as well." placeholder:"ID"`
}

func (c *runCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	if err := decider(c.Decider); err != nil {
		return err
	}
	plan := runs.Plan{Day: d, Decider: c.Decider, Seed: c.Seed, Over: c.Set}
	tick := s.progress("second", int(d.Length.Hi))
	r, w, err := runs.One(plan, play.Story(c.Ref), play.Progress(func(at float64) { tick(int(at)) }))
	if err != nil {
		return err
	}
	if err := c.tell(s, d.Name, []*runs.Run{r}); err != nil {
		return err
	}
	for _, l := range w.Told() {
		fmt.Fprintln(s.errs, l)
	}
	if r.Breaks > 0 { // the same day again, for the story of the first invocation with which a rule was broken
		for _, b := range r.Broken {
			if b.Ref == "" {
				continue
			}
			story, err := runs.Story(plan, b.Ref)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.errs, "%s\n%s\n", b, strings.Join(story, "\n"))
			break
		}
	}
	return judge([]*runs.Run{r})
}

type compareCmd struct {
	choose
	Decider string   `default:"module" help:"The first; differences are from it."`
	Against []string `required:"" help:"The others: names as for run, or the path of an earlier build's wirehost." placeholder:"NAME|PATH"`
	Seeds   int      `default:"4" help:"How many seeds."`
}

func (c *compareCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	names := []string{c.Decider}
	for _, a := range c.Against {
		if strings.ContainsAny(a, "/.") && !strings.HasPrefix(a, "wire:") {
			a = "wire:" + a
		}
		names = append(names, a)
	}
	var plans []runs.Plan
	for _, n := range names {
		if err := decider(n); err != nil {
			return err
		}
		plans = append(plans, c.seeds(d, n, c.Set, c.Seeds)...)
	}
	rs, err := runs.All(ctx, plans, c.Workers, s.progress("days", len(plans)))
	if err != nil {
		return err
	}
	if err := c.tell(s, d.Name, rs); err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintln(s.out)
		if err := report.Differences(s.out, rs); err != nil {
			return err
		}
	}
	return judge(rs)
}

type sweepCmd struct {
	choose
	Over    []string `required:"" sep:"none" help:"A key and its values, as in counter.capacity=500/s,1000/s. Several make a grid." placeholder:"KEY=V1,V2"`
	Seeds   int      `default:"3" help:"How many seeds."`
	Decider []string `default:"module" help:"Who decides; several are played side by side."`
}

func (c *sweepCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	sets := []map[string]string{{}}
	for _, o := range c.Over {
		key, values, ok := strings.Cut(o, "=")
		if !ok || values == "" {
			return badInput{fmt.Errorf("--over %s: KEY=V1,V2 is wanted", o)}
		}
		var next []map[string]string
		for _, set := range sets {
			for _, v := range strings.Split(values, ",") {
				one := map[string]string{key: v}
				for k, x := range set {
					one[k] = x
				}
				next = append(next, one)
			}
		}
		sets = next
	}
	var plans []runs.Plan
	for _, n := range c.Decider {
		if err := decider(n); err != nil {
			return err
		}
		for _, set := range sets {
			x := d.Clone()
			if err := change(x, set); err != nil {
				return err
			}
			plans = append(plans, c.seeds(x, n, set, c.Seeds)...)
		}
	}
	rs, err := runs.All(ctx, plans, c.Workers, s.progress("days", len(plans)))
	if err != nil {
		return err
	}
	if err := c.tell(s, d.Name+" over "+strings.Join(c.Over, ", "), rs); err != nil {
		return err
	}
	return judge(rs)
}

type searchCmd struct {
	choose
	Decider string  `default:"module" help:"Who decides."`
	Tries   int     `default:"32" help:"Days drawn."`
	Rounds  int     `default:"3" help:"Rounds of drawing near the worst."`
	Part    float64 `default:"0.8" help:"Part of the loss that a smaller day must keep."`
	Out     string  `help:"Write the day that was found to this file." placeholder:"FILE.toml"`
}

func (c *searchCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	if err := decider(c.Decider); err != nil {
		return err
	}
	if err := runs.Writable(c.Out); err != nil {
		return badInput{fmt.Errorf("no day could be written: %w", err)}
	}
	if len(d.Spans()) == 0 && len(d.Troubles) == 0 {
		return badInput{fmt.Errorf("%s has neither ranges nor troubles: there is nothing to look through", d.Name)}
	}
	if c.Tries < 1 || c.Part <= 0 || c.Part > 1 {
		return badInput{errors.New("--tries is at least 1, and --part over 0 and at most 1")}
	}
	found, err := search.Worst(ctx, d, search.Options{Decider: c.Decider, Tries: c.Tries, Rounds: c.Rounds, Seed: c.Seed,
		Workers: c.Workers, Keep: c.Part, Tell: func(t string) { fmt.Fprintln(s.errs, t) }})
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := runs.Put(c.Out, []byte(found.Day.Text())); err != nil {
			return err
		}
	}
	r, _, err := runs.One(runs.Plan{Day: found.Day, Decider: c.Decider, Seed: found.Seed})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "worst: seed %d, score %.3f; taken away without losing it: %s\n", found.Seed, found.Score, strings.Join(found.Steps, "; "))
	if err := c.tell(s, found.Day.Name, []*runs.Run{r}); err != nil {
		return err
	}
	return judge([]*runs.Run{r})
}

type reportCmd struct {
	Results []string `arg:"" help:"Files that --keep wrote."`
	Out     string   `short:"o" help:"The page to write; without it, text is written." placeholder:"FILE.html"`
	Title   string   `default:"Results" help:"Of the page."`
}

func (c *reportCmd) Run(s *streams) error {
	if err := runs.Writable(c.Out); err != nil {
		return badInput{err}
	}
	var all []*runs.Run
	for _, f := range c.Results {
		rs, err := runs.Load(f)
		if err != nil {
			return badInput{err}
		}
		all = append(all, rs...)
	}
	if len(all) == 0 {
		return badInput{errors.New("there are no runs in these files")}
	}
	if c.Out == "" {
		return report.Text(s.out, all)
	}
	b, err := report.HTML(c.Title, all)
	if err != nil {
		return err
	}
	return runs.Put(c.Out, b)
}

type daysCmd struct {
	Form  bool   `help:"The keys of a day's file, as a table."`
	Kinds bool   `help:"The kinds of troubles, as a table."`
	Show  string `help:"Print a day whole, with all its defaults." placeholder:"DAY"`
	Seed  uint64 `help:"With --show: with its ranges drawn by this seed."`
}

func (c *daysCmd) Run(s *streams) error {
	switch {
	case c.Form:
		fmt.Fprint(s.out, "| key | what it is | range | if it is not given |\n| --- | --- | --- | --- |\n", day.Form())
	case c.Kinds:
		fmt.Fprint(s.out, "| kind | what happens | `part` is of the | `size` is |\n| --- | --- | --- | --- |\n")
		for _, k := range day.Kinds {
			fmt.Fprintf(s.out, "| `%s` | %s | %s | %s |\n", k.Name, k.Does, dash(k.Part), dash(k.Size))
		}
	case c.Show != "":
		d, err := days.Load(c.Show)
		if err != nil {
			return badInput{err}
		}
		if c.Seed > 0 {
			d = d.Draw(c.Seed)
		}
		fmt.Fprint(s.out, d.Text())
	default:
		for _, n := range days.Names() {
			d, err := days.Load(n)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.out, "%-24s %s\n", n, d.About)
		}
	}
	return nil
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
