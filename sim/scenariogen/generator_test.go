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

// seedsTried is large enough for each kind of the list to be the first disruption with each of its variants.
const seedsTried = 800

func newTestGenerator(t *testing.T, tolerated int) *Generator {
	t.Helper()
	site, err := ParseSite([]byte(siteTOML))
	if err != nil {
		t.Fatal(err)
	}
	site.ToleratedMachines = tolerated
	kinds, err := ParseKinds(kindList)
	if err != nil {
		t.Fatal(err)
	}
	return NewGenerator(site, kinds)
}

func TestParseSite(t *testing.T) {
	site := newTestGenerator(t, 1).site
	switch {
	case !slices.Equal(site.Zones, []string{"north", "south"}),
		!slices.Equal(site.MachineClasses, []string{"front", "store", "core"}),
		!slices.Equal(site.BurstClasses, []string{"chat"}),
		!slices.Equal(site.Variants["core_cut"], []string{"leader refuse"}),
		site.CatchUp != 4:
		t.Fatalf("read %+v", site)
	}
}

func TestParseSiteRejectsOtherFiles(t *testing.T) {
	for _, file := range []string{"", "name = 1", "name = \"x\"\nlength_s = 3.0\n"} {
		if _, err := ParseSite([]byte(file)); err == nil {
			t.Errorf("no error for %q", file)
		}
	}
}

func TestSameSeedGivesSameDay(t *testing.T) {
	for seed := range uint64(100) {
		first := newTestGenerator(t, 2).Day(seed).TOML()
		if second := newTestGenerator(t, 2).Day(seed).TOML(); second != first {
			t.Fatalf("seed %d gave\n%s\nand then\n%s", seed, first, second)
		}
	}
}

func TestSeedsGiveDifferentDays(t *testing.T) {
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

// The test counts the lost machines at the beginning of each loss on its own, without the ledger of the generator.
func TestDayNeverLosesMoreMachinesThanTolerated(t *testing.T) {
	for _, tolerated := range []int{1, 2} {
		g := newTestGenerator(t, tolerated)
		overlapping := false
		for seed := range uint64(seedsTried) {
			lost, at := mostLost(g.site, g.Day(seed))
			if lost > tolerated {
				t.Fatalf("seed %d: %d lost at %.3f s where %d are tolerated:\n%s", seed, lost, at, tolerated, g.Day(seed).TOML())
			}
			overlapping = overlapping || lost > 1
		}
		if tolerated == 2 && !overlapping {
			t.Error("no day lost two machines at once, although that is tolerated")
		}
	}
}

// mostLost returns the largest number of counted machines that are lost at the beginning of any loss, and the time of that loss.
func mostLost(site *Site, day *Day) (most int, at float64) {
	var losses []Loss
	for _, d := range day.Disruptions {
		if loss, counts := site.lossOf(d); counts {
			losses = append(losses, loss)
		}
	}
	for _, one := range losses {
		sum := 0
		for _, other := range losses {
			if other.From <= one.From && one.From < other.To {
				sum += other.Machines
			}
		}
		if sum > most {
			most, at = sum, one.From
		}
	}
	return most, at
}

func TestLossesCountTheTimeToCatchUp(t *testing.T) {
	site := newTestGenerator(t, 1).site
	tests := []struct {
		entry  Disruption
		counts bool
		to     float64
	}{
		{Disruption{At: 10, Kind: "node_kill", MachineClass: "core", Count: 1, Duration: 2}, true, 16},
		{Disruption{At: 10, Kind: "node_kill", MachineClass: "front", Share: 1, Duration: 2}, false, 0},
		{Disruption{At: 10, Kind: "core_cut", Count: 1, Duration: 3}, true, 17},
		{Disruption{At: 10, Kind: "herd_kill", MachineClass: "core", Duration: 1}, false, 0},
		{Disruption{At: 10, Kind: "replace_core", MachineClass: "store", Magnitude: 2}, true, 17},
		{Disruption{At: 10, Kind: "reset_conns", MachineClass: "core", Share: 1}, false, 0},
		{Disruption{At: 10, Kind: "never_heard_of", MachineClass: "store", Count: 1, Duration: 3}, true, 17},
	}
	for _, test := range tests {
		loss, counts := site.lossOf(test.entry)
		if counts != test.counts || loss.To != test.to {
			t.Errorf("%s: loss %+v, counted %v; want end %v, counted %v", test.entry, loss, counts, test.to, test.counts)
		}
	}
}

func TestEveryKindAndVariantIsGenerated(t *testing.T) {
	g := newTestGenerator(t, 1)
	missing := map[string]bool{}
	for _, kind := range g.kinds {
		for _, word := range slices.Concat(kind.Variants, kind.Additions) {
			missing[kind.Name+" "+word] = true
		}
		missing[kind.Name] = true
	}
	for _, class := range g.site.MachineClasses {
		missing["node_kill on "+class] = true
	}
	for _, fault := range finalFaults {
		missing["closing "+fault.kind] = true
	}
	for seed := range uint64(seedsTried) {
		day := g.Day(seed)
		for _, d := range day.Disruptions {
			delete(missing, d.Kind)
			delete(missing, d.Kind+" on "+d.MachineClass)
			for _, word := range strings.Fields(d.Variant) {
				delete(missing, d.Kind+" "+word)
			}
		}
		if day.FinalFault != nil {
			delete(missing, "closing "+day.FinalFault.Kind)
		}
	}
	if len(missing) > 0 {
		t.Fatalf("not generated in %d days: %v", seedsTried, missing)
	}
}

// At least half of the disruptions follow shortly after another one, and some kinds occur twice in a day.
func TestDisruptionsFollowWhileTheSystemRecovers(t *testing.T) {
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
				if gap := d.At - last; gap >= minFollowUpDelay && gap <= maxFollowUpDelay {
					near++
				}
			}
			last = d.At
		}
	}
	if near*2 < gaps {
		t.Errorf("%d of %d gaps are within the follow-up delay, want at least half", near, gaps)
	}
	if twice*10 < seedsTried {
		t.Errorf("a kind occurred twice on only %d of %d days", twice, seedsTried)
	}
}

func TestDaysReadBackAsTOML(t *testing.T) {
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
			checkDisruption(t, g, seed, d)
		}
	}
}

// The test sums up the affected and removed servers on its own, without the totals of the builder.
func TestDaysLeaveEnoughServers(t *testing.T) {
	g := newTestGenerator(t, 1)
	nearBound := false
	for seed := range uint64(seedsTried) {
		affected, removed := 0.0, 0.0
		for _, d := range g.Day(seed).Disruptions {
			affectedByOne, removedByOne := serversTaken(t, seed, d)
			affected += affectedByOne
			removed += removedByOne
		}
		if affected > maxAffectedShare+1e-9 || removed > maxRemovedShare+1e-9 {
			t.Errorf("seed %d: %.3f of the servers affected, %.3f removed", seed, affected, removed)
		}
		nearBound = nearBound || affected > maxAffectedShare/2
	}
	if !nearBound {
		t.Error("no day affects more than half of the allowed share of servers")
	}
}

// serversTaken returns the shares of servers that a disruption affects and removes. It fails the test if none are left.
func serversTaken(t *testing.T, seed uint64, d Disruption) (affected, removed float64) {
	t.Helper()
	words := strings.Fields(d.Variant)
	if kindSpecs[d.Kind].affects != affectsServers && slices.Contains(words, variantDrain) {
		removed += drainedShare
	}
	if !kindSpecs[d.Kind].degradesServers {
		return 0, removed
	}
	if d.Kind == kindScaleIn || strings.Contains(d.Variant, variantGone) {
		removed += d.Share
	}
	if slices.Contains(words, variantAll) {
		t.Errorf("seed %d: %s leaves no servers", seed, d)
	}
	return d.Share, removed
}

func checkDisruption(t *testing.T, g *Generator, seed uint64, d Disruption) {
	t.Helper()
	if d.At < 1 || d.At > g.Length-quietTail {
		t.Errorf("seed %d: %s is outside the allowed time of the day", seed, d)
	}
	if d.Share > 1 || min(d.Share, float64(d.Count), d.Duration, d.Interval, d.Magnitude) < 0 {
		t.Errorf("seed %d: %s has a value out of range", seed, d)
	}
	if d.MachineClass != "" && !slices.Contains(g.site.MachineClasses, d.MachineClass) {
		t.Errorf("seed %d: %s names an unknown machine class", seed, d)
	}
	if d.Service != "" && !slices.Contains(g.site.Services, d.Service) {
		t.Errorf("seed %d: %s names an unknown service", seed, d)
	}
	checkKindAndVariant(t, g, seed, d)
}

// checkKindAndVariant checks that the list contains the kind of the disruption and all words of its variant.
func checkKindAndVariant(t *testing.T, g *Generator, seed uint64, d Disruption) {
	t.Helper()
	i := slices.IndexFunc(g.kinds, func(k Kind) bool { return k.Name == d.Kind })
	if i < 0 {
		if d.Kind != kindAckLost { // added to a series of configuration changes even if the list doesn't contain it
			t.Errorf("seed %d: kind %q is not in the list", seed, d.Kind)
		}
		return
	}
	known := slices.Concat(g.kinds[i].Variants, g.kinds[i].Additions, kindSpecs[d.Kind].variants, machineSelectors, machineFollowUps,
		serverSelectors, cutEndings, []string{busyVariant})
	for _, word := range strings.Fields(d.Variant) {
		if !slices.Contains(known, word) {
			t.Errorf("seed %d: %s has an unknown variant %q", seed, d, word)
		}
	}
}
