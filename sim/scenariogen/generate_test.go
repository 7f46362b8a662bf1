package scenariogen

import (
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const siteTOML = `
name = "orchard"
length_s = 30.0
zones = [{ name = "north" }, { name = "south" }]
machines = [
  { class = "front", zone = "north", count = 2, spare = 1 },
  { class = "store", zone = "north", count = 3, spare = 1 },
  { class = "core", zone = "south", count = 3, spare = 1 },
]
services = [{ name = "models" }, { name = "tools" }]
classes = [{ name = "chat", agent = { kept = true } }, { name = "look" }]
troubles = [{ kind = "core_cut", how = "leader refuse" }]
[timing]
catch_up_s = 4.0
[tolerate]
machines = 1
`

// seedsTried is enough for each kind of the list to come first with each of its variants.
const seedsTried = 800

func newTestGenerator(t *testing.T, tolerated int) *Generator {
	t.Helper()
	site, err := ParseSite([]byte(siteTOML))
	if err != nil {
		t.Fatal(err)
	}
	site.Machines = tolerated
	kinds, err := ParseKinds(list)
	if err != nil {
		t.Fatal(err)
	}
	return NewGenerator(site, kinds)
}

func TestParseSite(t *testing.T) {
	site := newTestGenerator(t, 1).site
	switch {
	case !slices.Equal(site.Zones, []string{"north", "south"}),
		!slices.Equal(site.Classes, []string{"front", "store", "core"}),
		!slices.Equal(site.Routes, []string{"chat"}),
		!slices.Equal(site.Variants["core_cut"], []string{"leader refuse"}),
		site.CatchUpS != 4:
		t.Fatalf("read %+v", site)
	}
}

func TestParseSiteRefusesOtherFiles(t *testing.T) {
	for _, file := range []string{"", "name = 1", "name = \"x\"\nlength_s = 3.0\n"} {
		if _, err := ParseSite([]byte(file)); err == nil {
			t.Errorf("no error for %q", file)
		}
	}
}

func TestDayOfASeedIsTheSameEachTime(t *testing.T) {
	for seed := range uint64(100) {
		first := newTestGenerator(t, 2).Day(seed).TOML()
		if second := newTestGenerator(t, 2).Day(seed).TOML(); second != first {
			t.Fatalf("seed %d gave\n%s\nand then\n%s", seed, first, second)
		}
	}
}

func TestDaysOfSeedsDiffer(t *testing.T) {
	g := newTestGenerator(t, 1)
	seen := map[string]uint64{}
	for seed := range uint64(100) {
		file := strings.SplitN(g.Day(seed).TOML(), "\n", 2)[1] // without the name
		if other, found := seen[file]; found {
			t.Fatalf("seeds %d and %d gave the same day", other, seed)
		}
		seen[file] = seed
	}
}

// TestToleranceKept reckons the losses of each day anew, without the ledger, at the beginning of each.
func TestToleranceKept(t *testing.T) {
	for _, tolerated := range []int{1, 2} {
		g := newTestGenerator(t, tolerated)
		overlapping := false
		for seed := range uint64(seedsTried) {
			var held []Loss
			for _, d := range g.Day(seed).Disruptions {
				if loss, counts := g.site.lossOf(d); counts {
					held = append(held, loss)
				}
			}
			for _, one := range held {
				sum := 0
				for _, other := range held {
					if other.From <= one.From && one.From < other.To {
						sum += other.Machines
					}
				}
				if sum > tolerated {
					t.Fatalf("seed %d: %d lost at %.3f s where %d are tolerated:\n%s", seed, sum, one.From, tolerated, g.Day(seed).TOML())
				}
				overlapping = overlapping || sum > 1
			}
		}
		if tolerated == 2 && !overlapping {
			t.Error("two were never lost at once, though that is tolerated")
		}
	}
}

func TestLossesCountTheTimeToCatchUp(t *testing.T) {
	site := newTestGenerator(t, 1).site
	tests := []struct {
		entry  Disruption
		counts bool
		to     float64
	}{
		{Disruption{At: 10, Kind: "node_kill", On: "core", Count: 1, ForS: 2}, true, 16},
		{Disruption{At: 10, Kind: "node_kill", On: "front", Share: 1, ForS: 2}, false, 0},
		{Disruption{At: 10, Kind: "core_cut", Count: 1, ForS: 3}, true, 17},
		{Disruption{At: 10, Kind: "herd_kill", On: "core", ForS: 1}, false, 0},
		{Disruption{At: 10, Kind: "replace_core", On: "store", X: 2}, true, 17},
		{Disruption{At: 10, Kind: "reset_conns", On: "core", Share: 1}, false, 0},
		{Disruption{At: 10, Kind: "never_heard_of", On: "store", Count: 1, ForS: 3}, true, 17},
	}
	for _, test := range tests {
		loss, counts := site.lossOf(test.entry)
		if counts != test.counts || loss.To != test.to {
			t.Errorf("%s: loss %+v, %v; want one until %v, %v", test.entry, loss, counts, test.to, test.counts)
		}
	}
}

func TestEveryKindAndVariantIsReached(t *testing.T) {
	g := newTestGenerator(t, 1)
	missing := map[string]bool{}
	for _, kind := range g.kinds {
		for _, how := range slices.Concat(kind.Hows, kind.Additions) {
			missing[kind.Name+" "+how] = true
		}
		missing[kind.Name] = true
	}
	for _, on := range g.site.Classes {
		missing["node_kill on "+on] = true
	}
	for _, closing := range closings {
		missing["closing "+closing.kind] = true
	}
	for seed := range uint64(seedsTried) {
		day := g.Day(seed)
		for _, d := range day.Disruptions {
			delete(missing, d.Kind)
			delete(missing, d.Kind+" on "+d.On)
			for _, how := range strings.Fields(d.How) {
				delete(missing, d.Kind+" "+how)
			}
		}
		if day.Closing != nil {
			delete(missing, "closing "+day.Closing.Kind)
		}
	}
	if len(missing) > 0 {
		t.Fatalf("never reached in %d days: %v", seedsTried, missing)
	}
}

// TestSecondsComeDuringRepair wants the weight to lie on moments shortly after another disruption, and some disruptions to come
// twice.
func TestSecondsComeDuringRepair(t *testing.T) {
	g := newTestGenerator(t, 1)
	near, gaps, twice := 0, 0, 0
	for seed := range uint64(seedsTried) {
		times := map[string]int{}
		last := -1.0
		for _, d := range g.Day(seed).Disruptions {
			if d.Kind == "config_change" || d.Kind == "ack_lost" {
				continue
			}
			if times[d.Kind]++; times[d.Kind] == 2 {
				twice++
			}
			if last >= 0 {
				gaps++
				if gap := d.At - last; gap >= repairEarliest && gap <= repairLatest {
					near++
				}
			}
			last = d.At
		}
	}
	if near*2 < gaps {
		t.Errorf("%d of %d gaps are those of a repair, want half at least", near, gaps)
	}
	if twice*10 < seedsTried {
		t.Errorf("a kind came twice on %d of %d days", twice, seedsTried)
	}
}

func TestDaysAreValid(t *testing.T) {
	g := newTestGenerator(t, 2)
	for seed := range uint64(seedsTried) {
		day := g.Day(seed)
		var read struct {
			Name    string           `toml:"name"`
			Seed    int64            `toml:"seed"`
			LengthS float64          `toml:"length_s"`
			Plan    []map[string]any `toml:"plan"`
			Faults  []map[string]any `toml:"faults"`
		}
		if err := toml.Unmarshal([]byte(day.TOML()), &read); err != nil {
			t.Fatalf("seed %d: %v:\n%s", seed, err, day.TOML())
		}
		if read.Name != day.Name || read.LengthS != 30 || len(read.Plan)+len(read.Faults) != len(day.Disruptions) {
			t.Fatalf("seed %d: read back as %+v", seed, read)
		}
		for _, d := range day.Disruptions {
			checkEntry(t, g, seed, d)
		}
	}
}

// TestDaysLeaveServers reckons anew what a day takes from the servers.
func TestDaysLeaveServers(t *testing.T) {
	g := newTestGenerator(t, 1)
	refused := false
	for seed := range uint64(seedsTried) {
		sum, gone := 0.0, 0.0
		for _, d := range g.Day(seed).Disruptions {
			if specs[d.Kind].target != targetServers && slices.Contains(strings.Fields(d.How), variantDrain) {
				gone += hostsDrained
			}
			if !specs[d.Kind].spoils {
				continue
			}
			sum += d.Share
			if d.Kind == kindScaleIn || strings.Contains(d.How, variantGone) {
				gone += d.Share
			}
			if slices.Contains(strings.Fields(d.How), variantAll) {
				t.Errorf("seed %d: %s spares none", seed, d)
			}
		}
		if sum > mostHostsStruck+1e-9 || gone > mostHostsGone+1e-9 {
			t.Errorf("seed %d: %.3f of the servers struck, %.3f gone", seed, sum, gone)
		}
		refused = refused || sum > mostHostsStruck/2
	}
	if !refused {
		t.Error("no day comes near the bound")
	}
}

func checkEntry(t *testing.T, g *Generator, seed uint64, d Disruption) {
	t.Helper()
	kind := slices.IndexFunc(g.kinds, func(k Kind) bool { return k.Name == d.Kind })
	switch {
	case kind < 0 && d.Kind != "ack_lost":
		t.Errorf("seed %d: kind %q is none of the list", seed, d.Kind)
	case d.At < 1 || d.At > g.LengthS-quietEnd:
		t.Errorf("seed %d: %s lies outside the day", seed, d)
	case d.Share < 0 || d.Share > 1 || d.Count < 0 || d.ForS < 0 || d.GapS < 0 || d.X < 0:
		t.Errorf("seed %d: %s has a figure out of range", seed, d)
	case d.On != "" && !slices.Contains(g.site.Classes, d.On):
		t.Errorf("seed %d: %s names no class of the site", seed, d)
	case d.Service != "" && !slices.Contains(g.site.Services, d.Service):
		t.Errorf("seed %d: %s names no service of the site", seed, d)
	}
	if kind < 0 {
		return
	}
	known := slices.Concat(g.kinds[kind].Hows, g.kinds[kind].Additions, specs[d.Kind].hows, machineSelectors, machineFollowUps, serverSelectors,
		cutEndings, []string{busyVariant})
	for _, how := range strings.Fields(d.How) {
		if !slices.Contains(known, how) {
			t.Errorf("seed %d: %s has an unknown variant %q", seed, d, how)
		}
	}
}
