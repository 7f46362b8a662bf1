package scenariogen

import (
	"slices"
	"strings"

	"otterseam/sim/randstream"
)

// Parameters of a generated day. Times are in seconds, and names with the prefix chance are probabilities.
const (
	earliestDisruption  = 1.5 // time of the earliest disruption
	quietTail           = 3.0 // length of the end of a day without disruptions
	minGroups           = 3   // groups of disruptions that follow each other closely
	maxGroups           = 8
	minFollowUpDelay    = 0.5 // delay of a follow-up disruption after the previous one
	maxFollowUpDelay    = 4.0
	chanceOfSecond      = 0.75 // a group has a second disruption
	chanceOfThird       = 0.35 // a group with a second disruption has a third one
	chanceOfReturn      = 0.3  // the time of a follow-up is relative to the end of the previous disruption rather than to its beginning
	returnBefore        = 0.5  // earliest such follow-up, before that end
	returnAfter         = 1.5  // latest such follow-up, after that end
	chanceOfRepeat      = 0.2  // a follow-up repeats the previous disruption
	chanceOfChanges     = 0.8  // a series of configuration changes runs in parallel
	changeInterval      = 1.2
	minChanges          = 4
	maxChanges          = 16
	chanceOfAckLost     = 0.5 // acknowledgements of that series are lost
	ackLostDuration     = 12.0
	ackLostShare        = 0.6
	chanceOfFinalFault  = 0.4
	maxAffectedShare    = 0.6  // maximum total share of servers that a day removes or degrades
	maxRemovedShare     = 0.25 // maximum total share of servers that don't come back
	rollingRestartSteps = 3    // approximate number of machines that a rolling restart affects
	drainedShare        = 0.07 // share of the servers that leave after one machine is back
	maxPostponement     = 12.0 // maximum delay of a disruption whose loss of machines doesn't fit yet
)

// finalFaultDowntime is the range of the downtime of machines after a final fault.
var finalFaultDowntime = span{0.5, 1.6}

// dayBuilder builds one day.
type dayBuilder struct {
	*Generator
	stream   randstream.Stream
	losses   lossLedger
	affected float64 // total share of servers removed or degraded so far
	removed  float64 // total share of servers so far that don't come back
	day      *Day
}

// addGroup adds a disruption and follow-ups close to it: while it lasts, while its machines come back, or shortly after. A nil kind is
// drawn at random. A non-nil round selects the variant of the kind, so that consecutive rounds cycle through all variants.
func (d *dayBuilder) addGroup(kind *Kind, round *uint64) {
	at := d.stream.Uniform(earliestDisruption, max(earliestDisruption, d.Length-quietTail-maxFollowUpDelay))
	if kind == nil {
		kind = d.pickKind()
	}
	last, ok := d.add(*kind, round, at)
	if !ok {
		return
	}
	for _, chance := range []float64{chanceOfSecond, chanceOfThird} {
		if !d.stream.Chance(chance) {
			return
		}
		at = d.followUpTime(last)
		if d.stream.Chance(chanceOfRepeat) && last.Kind != kindBurst { // overlapping bursts only test overload
			last = d.repeat(last, at)
			continue
		}
		if further, ok := d.add(*d.pickKind(), nil, at); ok {
			last = further
		}
	}
}

// followUpTime draws the time of a follow-up, at which the system is still recovering from the given disruption.
func (d *dayBuilder) followUpTime(of Disruption) float64 {
	if d.stream.Chance(chanceOfReturn) {
		return max(of.At, of.At+durationOf(of)+d.stream.Uniform(-returnBefore, returnAfter))
	}
	return of.At + d.stream.Uniform(minFollowUpDelay, maxFollowUpDelay)
}

// durationOf returns the duration of a disruption, including all its steps.
func durationOf(of Disruption) float64 {
	if of.Duration > 0 {
		return of.Duration
	}
	if of.Interval > 0 {
		return of.Interval * float64(max(1, of.Count))
	}
	return 1
}

// pickKind draws a kind with a probability proportional to its weight.
func (d *dayBuilder) pickKind() *Kind {
	sum := 0.0
	for _, kind := range d.kinds {
		sum += specOf(kind).weight
	}
	left := d.stream.Uniform(0, sum)
	for i := range d.kinds {
		if left -= specOf(d.kinds[i]).weight; left < 0 {
			return &d.kinds[i]
		}
	}
	return &d.kinds[len(d.kinds)-1]
}

// add draws a disruption of a kind and adds it to the day. It reports false if the disruption would exceed the tolerated losses.
func (d *dayBuilder) add(kind Kind, round *uint64, at float64) (Disruption, bool) {
	return d.admit(d.drawDisruption(kind, round, at))
}

// repeat adds a copy of a disruption at a later time. It returns the copy, or the original if the copy didn't fit.
func (d *dayBuilder) repeat(first Disruption, at float64) Disruption {
	later := first
	later.At = rounded(at)
	if admitted, ok := d.admit(later); ok {
		return admitted
	}
	return first
}

// admit adds a disruption to the day, delayed until its loss of machines fits, and reports whether it was added.
func (d *dayBuilder) admit(disruption Disruption) (Disruption, bool) {
	if loss, counts := d.site.lossOf(disruption); counts {
		moment := d.losses.earliest(loss)
		if moment-loss.From > maxPostponement {
			return disruption, false
		}
		disruption.At = roundedUp(moment)
		loss, _ = d.site.lossOf(disruption)
		if disruption.At > d.Length-quietTail || !d.losses.fits(loss) {
			return disruption, false
		}
		d.losses.add(loss)
	}
	if disruption.At > d.Length-quietTail || !d.leavesCapacity(disruption) {
		return disruption, false
	}
	d.day.Disruptions = append(d.day.Disruptions, disruption)
	return disruption, true
}

// leavesCapacity reports whether enough servers are left after a disruption. If so, it adds the disruption's shares to the totals.
// A day with too few servers would only show overload, which hides all other effects.
func (d *dayBuilder) leavesCapacity(disruption Disruption) bool {
	words := strings.Fields(disruption.Variant)
	share, removed := 0.0, 0.0
	if kindSpecs[disruption.Kind].degradesServers {
		share = disruption.Share
		if slices.Contains(words, variantAll) {
			share = 1
		}
		if disruption.Kind == kindScaleIn || slices.Contains(words, variantGone) {
			removed = share
		}
	}
	if kindSpecs[disruption.Kind].affects != affectsServers && slices.Contains(words, variantDrain) {
		removed = drainedShare
		if disruption.Kind == kindRollTerm {
			removed *= rollingRestartSteps
		}
	}
	if d.affected+share > maxAffectedShare || d.removed+removed > maxRemovedShare {
		return false
	}
	d.affected += share
	d.removed += removed
	return true
}

// addConfigChanges adds a series of configuration changes by the operator, in parallel with the other disruptions.
func (d *dayBuilder) addConfigChanges() {
	start := d.stream.Uniform(earliestDisruption, d.Length/2)
	at := start
	for range minChanges + d.stream.IntN(maxChanges-minChanges+1) {
		d.admit(Disruption{At: rounded(at), Kind: kindConfigChange, Planned: true, Variant: variantIdle})
		at += changeInterval
	}
	if d.stream.Chance(chanceOfAckLost) {
		d.admit(Disruption{At: rounded(start), Kind: kindAckLost, Duration: ackLostDuration, Magnitude: ackLostShare})
	}
}

// addFinalFault draws the fault at the end of the day.
func (d *dayBuilder) addFinalFault() {
	drawn := finalFaults[d.stream.IntN(len(finalFaults))]
	d.day.FinalFault = &FinalFault{Kind: drawn.kind, Variant: d.oneOf(drawn.variants), Downtime: d.drawWithin(finalFaultDowntime)}
}
