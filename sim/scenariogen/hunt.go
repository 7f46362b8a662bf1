package scenariogen

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Hunt plays generated days of several sites.
type Hunt struct {
	Bench       *Bench
	FirstSeed   uint64
	Days        int     // of each site
	Jobs        int     // played at once
	LengthS     float64 // of a day; 0: the site's own
	Least       float64 // a day worth less than this is kept too
	Kept        string  // folder for the days that fell short; none: they aren't kept apart
	WriteOnly   bool    // days are written and not played
	ShrinkPlays int     // plays spent on shrinking one day at most
	Tell        func(line string)

	telling sync.Mutex
}

// Played is one generated day and what became of it.
type Played struct {
	Site    string
	Seed    uint64
	Name    string
	Day     *Day
	Outcome *Outcome
	Err     error
	Shrunk  string // file of the shortest day that breaks the same rule; empty if none was looked for
}

// Broken says whether a rule was broken.
func (p *Played) Broken() bool { return p.Outcome != nil && len(p.Outcome.Broken()) > 0 }

// fellShort says whether the day is worth keeping.
func (p *Played) fellShort(least float64) bool {
	return p.Err != nil || p.Broken() || p.Outcome.Exits > 0 || len(p.Outcome.Short) > 0 || p.Outcome.Worth < least
}

// Run plays the days of each site file in turn. It goes on after a broken rule and gives all that was played.
func (h *Hunt) Run(ctx context.Context, siteFiles []string) ([]*Played, error) {
	var all []*Played
	for _, file := range siteFiles {
		played, err := h.site(ctx, file)
		all = append(all, played...)
		if err != nil {
			return all, err
		}
	}
	return all, nil
}

func (h *Hunt) site(ctx context.Context, file string) ([]*Played, error) {
	generator, err := h.generator(ctx, file)
	if err != nil {
		return nil, err
	}
	if h.WriteOnly {
		return nil, h.write(generator)
	}
	played := make([]*Played, h.Days)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, h.Jobs))
	for i := range played {
		seed := h.FirstSeed + uint64(i)
		group.Go(func() error {
			played[i] = h.play(ctx, generator, file, seed)
			return h.finish(ctx, file, played[i])
		})
	}
	err = group.Wait()
	return compact(played), err
}

// compact leaves out days that were never begun.
func compact(played []*Played) (begun []*Played) {
	for _, p := range played {
		if p != nil {
			begun = append(begun, p)
		}
	}
	return begun
}

func (h *Hunt) generator(ctx context.Context, file string) (*Generator, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	site, err := ParseSite(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Base(file), err)
	}
	kinds, err := h.Bench.Kinds(ctx, file)
	if err != nil {
		return nil, err
	}
	generator := NewGenerator(site, kinds)
	if h.LengthS > 0 {
		generator.LengthS = h.LengthS
	}
	return generator, nil
}

// fileName tells days of several sites apart.
func (g *Generator) fileName(day *Day) string { return g.site.Name + "-" + day.Name }

// write puts the days into their files.
func (h *Hunt) write(generator *Generator) error {
	for i := range h.Days {
		day := generator.Day(h.FirstSeed + uint64(i))
		file := h.Bench.File(generator.fileName(day))
		if err := os.WriteFile(file, []byte(day.TOML()), 0o644); err != nil {
			return err
		}
		h.tell(file)
	}
	return nil
}

func (h *Hunt) play(ctx context.Context, generator *Generator, file string, seed uint64) *Played {
	day := generator.Day(seed)
	p := &Played{Site: generator.site.Name, Seed: seed, Day: day, Name: generator.fileName(day)}
	p.Outcome, p.Err = h.Bench.Play(ctx, file, p.Name, day)
	return p
}

// finish tells of a day, keeps it if it fell short and shrinks it if it broke a rule.
func (h *Hunt) finish(ctx context.Context, file string, p *Played) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	h.tell(p.line())
	if !p.fellShort(h.Least) {
		return nil
	}
	if err := h.keep(p.Name, p.Day); err != nil {
		return err
	}
	if !p.Broken() || h.ShrinkPlays == 0 {
		return nil
	}
	return h.shrink(ctx, file, p)
}

// line says what became of a day: site, seed, worth, served, the slowest change of the configuration, broken rules, processes
// that ended by themselves and the gate's lines.
func (p *Played) line() string {
	if p.Err != nil {
		return fmt.Sprintf("%s seed %d: not played: %v", p.Site, p.Seed, p.Err)
	}
	broken := "no rule broken"
	if p.Broken() {
		broken = "BROKEN " + strings.Join(p.Outcome.Broken(), " ")
	}
	line := fmt.Sprintf("%s seed %d: worth %.3f, served %.3f, slowest change %.0f ms, %s", p.Site, p.Seed, p.Outcome.Worth,
		p.Outcome.Served, p.Outcome.SlowestConfig(), broken)
	if p.Outcome.Exits > 0 {
		line += fmt.Sprintf("; %d processes ended by themselves", p.Outcome.Exits)
	}
	for _, short := range p.Outcome.GateLines() {
		line += "; gate: " + short
	}
	return line
}

func (h *Hunt) tell(line string) {
	h.telling.Lock()
	defer h.telling.Unlock()
	h.Tell(line)
}

func (h *Hunt) keep(name string, day *Day) error {
	if h.Kept == "" {
		return nil
	}
	return os.WriteFile(filepath.Join(h.Kept, name+dayEnding), []byte(day.TOML()), 0o644)
}

// shrink looks for the shortest day that breaks the first of the rules that were broken.
func (h *Hunt) shrink(ctx context.Context, file string, p *Played) error {
	rule := p.Outcome.Broken()[0]
	name := p.Name + "-short"
	breaks := func(day *Day) (bool, error) {
		outcome, err := h.Bench.Play(ctx, file, name, day)
		if err != nil {
			return false, err
		}
		for _, broken := range outcome.Broken() {
			if broken == rule {
				return true, nil
			}
		}
		return false, nil
	}
	shortest, err := Shrink(p.Day, h.ShrinkPlays, breaks, func(step string) {
		h.tell(fmt.Sprintf("%s seed %d, %s still broken %s", p.Site, p.Seed, rule, step))
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.Bench.File(name), []byte(shortest.TOML()), 0o644); err != nil {
		return err
	}
	p.Shrunk = h.Bench.File(name)
	return h.keep(name, shortest)
}
