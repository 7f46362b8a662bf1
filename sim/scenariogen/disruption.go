package scenariogen

import (
	"math"
	"slices"
	"strings"
)

// Kinds of the bench's list, and variants of them, that are treated apart.
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
	minDuration       = 0.3  // of a disruption, in seconds
	addedMachines     = 1    // that join by one entry
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
	chanceOfBusy      = 0.4  // that a rolling restart hits machines that are at work
)

// drawDisruption draws the fields of a disruption of a kind.
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

// drawWithin draws from a span; one of zeros gives 0 without a draw.
func (d *dayBuilder) drawWithin(s span) float64 {
	if s == (span{}) {
		return 0
	}
	return rounded(d.stream.Uniform(s.lo, s.hi))
}

// oneOf draws a text of a list; an empty list gives an empty text without a draw.
func (d *dayBuilder) oneOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[d.stream.IntN(len(list))]
}

// drawMachines draws a class of machines and how many of it.
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
		entry.Magnitude = 1 // each is back before the next
		entry.Interval = rounded(d.site.CatchUp + 1)
	}
	if entry.MachineClass == classFront && d.stream.Chance(chanceOfZone) {
		entry.Zone = d.oneOf(d.site.Zones)
	}
}

// drawMachineCount sets how many machines an entry affects, where that is a number rather than a share.
func (d *dayBuilder) drawMachineCount(entry *Disruption, s kindSpec) {
	counted := s.affects != affectsMachines || d.site.CountsAsLoss(entry.MachineClass)
	switch entry.Kind {
	case kindAddNodes:
		entry.Count = addedMachines
	case kindReplaceCore, kindHerdKill, kindRollTerm:
		// one at a time, or all
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
