package scenariogen

import (
	"math"
	"slices"
	"strings"
)

// Kinds and variants that are treated apart.
const (
	kindBurst        = "burst"
	kindConfigChange = "config_change"
	kindBadConfig    = "bad_config"
	kindAckLost      = "ack_lost"
	kindAddNodes     = "add_nodes"
	kindReplaceCore  = "replace_core"
	kindHerdKill     = "herd_kill"
	kindRollTerm     = "roll_term"
	kindRetire       = "retire"
	kindScaleIn      = "scale_in"
	variantGone      = "gone"
	variantAll       = "all"
	variantDrain     = "drain" // servers leave soon after a machine is back
	cutSuffix        = "_cut"  // of the kinds that partition machines
	variantIdle      = "idle"
	variantOneZone   = "one_zone"
)

// Shape of an entry.
const (
	shortestLast      = 0.3  // of a disruption, in seconds
	spareMachines     = 1    // that join by one entry
	chanceOfZone      = 0.25 // that an entry names a zone
	chanceOfService   = 0.6  // that an entry about servers names a service
	chanceOfClass     = 0.5  // that one about traffic names a class of requests, and no zone
	chanceOfPair      = 0.35 // that one about machines has two variants of its kind
	chanceOfAddition  = 0.3  // that a variant's addition stands after it
	chanceOfSelector  = 0.4  // that one about machines says which
	chanceOfServers   = 0.15 // that one about servers says which
	chanceOfAll       = 0.2  // that all follow-ups come together
	chanceOfOne       = 0.25 // that one of them comes, otherwise
	chanceOfCutEnding = 0.25 // that a partition isn't silent
	chanceOfBusy      = 0.4  // that a rolling restart strikes machines that answer
)

// fields draws what an entry of a kind says.
func (d *drawing) fields(kind Kind, round *uint64, at float64) Disruption {
	s := specOf(kind)
	entry := Disruption{
		At: rounded(at), Kind: kind.Name, Planned: s.planned,
		Share: d.within(s.share), X: d.within(s.x), ForS: d.within(s.forS), GapS: d.within(s.gapS), Count: int(d.within(s.count)),
	}
	if s.wholeX {
		entry.X = math.Round(entry.X)
	}
	if entry.ForS > 0 {
		entry.ForS = max(shortestLast, min(entry.ForS, rounded(d.LengthS-entry.At)))
	}
	switch s.target {
	case targetMachines, targetCore, targetDisks:
		d.machines(&entry, s)
	case targetServers:
		d.servers(&entry)
	case targetTraffic:
		d.traffic(&entry)
	}
	entry.How = d.variant(kind, s, entry, round)
	if strings.Contains(entry.How, variantOneZone) {
		entry.ToZone = d.oneOf(d.site.Zones)
	}
	return entry
}

func (d *drawing) within(s span) float64 {
	if s == (span{}) {
		return 0
	}
	return rounded(d.stream.Uniform(s.lo, s.hi))
}

func (d *drawing) oneOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[d.stream.IntN(len(list))]
}

// machines chooses a class of machines and how many of it.
func (d *drawing) machines(entry *Disruption, s spec) {
	classes := d.site.Classes
	if s.target != targetMachines {
		classes = slices.DeleteFunc(slices.Clone(classes), func(class string) bool { return !d.site.Counted(class) })
	}
	if !d.stream.Chance(s.noClass) {
		entry.On = d.oneOf(classes)
	}
	countedOnes := s.target != targetMachines || d.site.Counted(entry.On)
	switch {
	case entry.Kind == kindAddNodes:
		entry.Count = spareMachines
	case entry.Kind == kindReplaceCore || entry.Kind == kindHerdKill || entry.Kind == kindRollTerm:
		// one at a time, or all
	case countedOnes && s.loses:
		entry.Share = 0
		entry.Count = 1 + d.stream.IntN(max(1, d.site.Machines))
	}
	if entry.Kind == kindRollTerm && d.site.Counted(entry.On) {
		entry.X = 1 // each is back before the next
		entry.GapS = rounded(d.site.CatchUpS + 1)
	}
	if entry.On == classFront && d.stream.Chance(chanceOfZone) {
		entry.Zone = d.oneOf(d.site.Zones)
	}
}

func (d *drawing) servers(entry *Disruption) {
	if d.stream.Chance(chanceOfService) {
		entry.Service = d.oneOf(d.site.Services)
	}
	if d.stream.Chance(chanceOfZone) {
		entry.Zone = d.oneOf(d.site.Zones)
	}
}

func (d *drawing) traffic(entry *Disruption) {
	if d.stream.Chance(chanceOfClass) {
		entry.Class = d.oneOf(d.site.Routes)
	} else {
		entry.Zone = d.oneOf(d.site.Zones)
	}
}

// variant chooses how an entry comes about: a variant of its kind, then which machines or servers, then what follows.
func (d *drawing) variant(kind Kind, s spec, entry Disruption, round *uint64) string {
	var words []string
	add := func(word string) {
		for _, one := range strings.Fields(word) {
			words = appendNew(words, one)
		}
	}
	choices := d.variantsOf(kind, s)
	if round != nil && len(choices) > 0 {
		add(choices[*round%uint64(len(choices))])
	} else {
		add(d.oneOf(choices))
	}
	if (s.target == targetMachines || s.target == targetCore) && d.stream.Chance(chanceOfPair) {
		add(d.oneOf(choices))
	}
	if len(words) > 0 && len(kind.Additions) > 0 && d.stream.Chance(chanceOfAddition) {
		add(d.oneOf(kind.Additions))
	}
	switch s.target {
	case targetServers:
		if d.stream.Chance(chanceOfServers) {
			add(d.oneOf(serverSelectors))
		}
	case targetMachines, targetCore:
		if d.stream.Chance(chanceOfSelector) && !slices.ContainsFunc(words, isSelector) {
			add(d.oneOf(machineSelectors))
		}
		all := d.stream.Chance(chanceOfAll)
		for _, word := range machineFollowUps {
			if all || d.stream.Chance(chanceOfOne) {
				add(word)
			}
		}
	}
	if strings.HasSuffix(kind.Name, cutSuffix) && !slices.ContainsFunc(words, isCutEnding) && d.stream.Chance(chanceOfCutEnding) {
		add(d.oneOf(cutEndings))
	}
	if kind.Name == kindRollTerm && d.stream.Chance(chanceOfBusy) {
		add(busyVariant)
	}
	return strings.Join(words, " ")
}

func isSelector(word string) bool  { return slices.Contains(machineSelectors, word) }
func isCutEnding(word string) bool { return slices.Contains(cutEndings, word) }

// variantsOf are those that the list of kinds names, those that the site itself uses, and none. Kinds whose variants say what
// is changed always have one.
func (d *drawing) variantsOf(kind Kind, s spec) []string {
	choices := slices.Concat(kind.Hows, s.hows, d.site.Variants[kind.Name])
	if !slices.Contains([]string{kindConfigChange, kindBadConfig}, kind.Name) {
		choices = append(choices, "")
	}
	return choices
}
