package scenariogen

import (
	"math"
	"slices"
	"strings"
)

// Kinds and variants from the bench's list that need special handling.
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
	cutSuffix        = "_cut"  // suffix of the kinds that partition machines
	variantIdle      = "idle"
	variantOneZone   = "one_zone"
)

// Parameters of a drawn disruption. Names with the prefix chance are probabilities.
const (
	minDuration       = 0.3  // in seconds
	addedMachines     = 1    // number of machines that one disruption adds
	chanceOfZone      = 0.25 // a disruption names a zone
	chanceOfService   = 0.6  // a disruption of servers names a service
	chanceOfClass     = 0.5  // a disruption of traffic names a request class instead of a zone
	chanceOfPair      = 0.35 // a disruption of machines has two variants of its kind
	chanceOfAddition  = 0.3  // an addition follows the variant
	chanceOfSelector  = 0.4  // a disruption of machines has a selector
	chanceOfServers   = 0.15 // a disruption of servers has a selector
	chanceOfAll       = 0.2  // a disruption of machines has all follow-up words
	chanceOfOne       = 0.25 // otherwise, each follow-up word is included
	chanceOfCutEnding = 0.25 // a partition resets or refuses connections instead of dropping packets silently
	chanceOfBusy      = 0.4  // a rolling restart affects busy machines
)

// drawDisruption draws a disruption of a kind. A non-nil round selects its variant as in addGroup.
func (d *dayBuilder) drawDisruption(kind Kind, round *uint64, at float64) Disruption {
	s := specOf(kind)
	entry := Disruption{
		At: rounded(at), Kind: kind.Name, Planned: s.planned,
		Share: d.drawWithin(s.share), Magnitude: d.drawWithin(s.magnitude), Duration: d.drawWithin(s.duration),
		Interval: d.drawWithin(s.interval), Count: int(d.drawWithin(s.count)),
	}
	if s.wholeMagnitude {
		entry.Magnitude = math.Round(entry.Magnitude)
	}
	if entry.Duration > 0 {
		entry.Duration = max(minDuration, min(entry.Duration, rounded(d.Length-entry.At)))
	}
	switch s.affects {
	case affectsMachines, affectsCore, affectsDisks:
		d.drawMachines(&entry, s)
	case affectsServers:
		d.drawServers(&entry)
	case affectsTraffic:
		d.drawTraffic(&entry)
	}
	entry.Variant = d.drawVariant(kind, s, round)
	if strings.Contains(entry.Variant, variantOneZone) {
		entry.ToZone = d.oneOf(d.site.Zones)
	}
	return entry
}

// drawWithin draws a number from a span. For the zero span it returns 0 without consuming a random number.
func (d *dayBuilder) drawWithin(s span) float64 {
	if s == (span{}) {
		return 0
	}
	return rounded(d.stream.Uniform(s.lo, s.hi))
}

// oneOf draws an element of a list. For an empty list it returns "" without consuming a random number.
func (d *dayBuilder) oneOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[d.stream.IntN(len(list))]
}

// drawMachines draws a machine class and the number or share of affected machines.
func (d *dayBuilder) drawMachines(entry *Disruption, s kindSpec) {
	classes := d.site.MachineClasses
	if s.affects != affectsMachines {
		classes = slices.DeleteFunc(slices.Clone(classes), func(class string) bool { return !d.site.CountsAsLoss(class) })
	}
	if !d.stream.Chance(s.classlessShare) {
		entry.MachineClass = d.oneOf(classes)
	}
	d.drawMachineCount(entry, s)
	if entry.Kind == kindRollTerm && d.site.CountsAsLoss(entry.MachineClass) {
		entry.Magnitude = 1 // machines restart one at a time, each after the previous one has caught up
		entry.Interval = rounded(d.site.CatchUp + 1)
	}
	if entry.MachineClass == classFront && d.stream.Chance(chanceOfZone) {
		entry.Zone = d.oneOf(d.site.Zones)
	}
}

// drawMachineCount sets the number of affected machines, if the disruption has a number rather than a share.
func (d *dayBuilder) drawMachineCount(entry *Disruption, s kindSpec) {
	counted := s.affects != affectsMachines || d.site.CountsAsLoss(entry.MachineClass)
	switch entry.Kind {
	case kindAddNodes:
		entry.Count = addedMachines
	case kindReplaceCore, kindHerdKill, kindRollTerm:
		// these affect one machine at a time, or all of them
	default:
		if counted && s.losesMachines {
			entry.Share = 0
			entry.Count = 1 + d.stream.IntN(max(1, d.site.ToleratedMachines))
		}
	}
}

func (d *dayBuilder) drawServers(entry *Disruption) {
	if d.stream.Chance(chanceOfService) {
		entry.Service = d.oneOf(d.site.Services)
	}
	if d.stream.Chance(chanceOfZone) {
		entry.Zone = d.oneOf(d.site.Zones)
	}
}

func (d *dayBuilder) drawTraffic(entry *Disruption) {
	if d.stream.Chance(chanceOfClass) {
		entry.RequestClass = d.oneOf(d.site.BurstClasses)
	} else {
		entry.Zone = d.oneOf(d.site.Zones)
	}
}
