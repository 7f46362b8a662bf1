package scenariogen

import (
	"slices"
	"testing"
)

// kindList is an example of a list of kinds in the format of the bench.
const kindList = `Fields: 'at', 'kind' and more; 'how' may also hold leader.
zone, class: where; left out, the seed picks.

node_kill: share (.1) of the machines end; how: power (dark for for_s)
herd_kill: share (.6) end at once; how: power; on core: all of them; how taken: all (+ all: every machine) go after an order
replace_core: (how oldest: the longest) one goes, x s (1) later another comes; how: planned (first the new one)
core_cut: count (1) are cut off; how: all (of all, too), near (zones), one_way, lure (those that leave, and others)
config_change: how: route weights idle
srv_grey: share (.15) fail x (.4); how: errors shed, slow (x (8) as long), + one_zone (callers in to_zone)
replace_with_reuse: share (.15) go (how: drain, they drain; dark, they fall silent); others take the address
srv_lying_health: share (.15) say well (how: errors hang), or say ill (how: bad)
after_ack_kill: the machine that acknowledges (and count - 1 more); how: kill, timed (5 to 400 ms), taken (it has just accepted; + gone: one never returns)
burst: x times the traffic of a zone or class (all)

these may come too:
give_up: share leave within x ms (half)
brand_new: count (1) things break; how: odd even
`

func TestParseKindsReadsVariantsAndAdditions(t *testing.T) {
	kinds, err := ParseKinds(kindList)
	if err != nil {
		t.Fatal(err)
	}
	want := []Kind{
		{Name: "node_kill", Variants: []string{"power"}},
		{Name: "herd_kill", Variants: []string{"power", "taken"}, Additions: []string{"all"}},
		{Name: "replace_core", Variants: []string{"planned", "oldest"}},
		{Name: "core_cut", Variants: []string{"all", "near", "one_way", "lure"}},
		{Name: "config_change", Variants: []string{"route", "weights", "idle"}},
		{Name: "srv_grey", Variants: []string{"errors", "shed", "slow"}, Additions: []string{"one_zone"}},
		{Name: "replace_with_reuse", Variants: []string{"drain", "dark"}},
		{Name: "srv_lying_health", Variants: []string{"errors", "hang", "bad"}},
		{Name: "after_ack_kill", Variants: []string{"kill", "timed", "taken"}, Additions: []string{"gone"}},
		{Name: "burst"},
		{Name: "give_up"},
		{Name: "brand_new", Variants: []string{"odd", "even"}},
	}
	if len(kinds) != len(want) {
		t.Fatalf("%d kinds, want %d: %v", len(kinds), len(want), kinds)
	}
	for i, k := range kinds {
		w := want[i]
		if k.Name != w.Name || !slices.Equal(k.Variants, w.Variants) || !slices.Equal(k.Additions, w.Additions) {
			t.Errorf("read %s %q + %q, want %s %q + %q", k.Name, k.Variants, k.Additions, w.Name, w.Variants, w.Additions)
		}
	}
}

func TestParseKindsRejectsAListWithoutKinds(t *testing.T) {
	if _, err := ParseKinds("no such verb\n"); err == nil {
		t.Fatal("no error")
	}
}
