package scenariogen

import (
	"slices"
	"strings"

	"otterseam/sim/randstream"
)

// Shape of a generated day. Times are seconds.
const (
	earliestDisruption  = 1.5 // no disruption before
	quietTail           = 3.0 // none in the last seconds before a day's end
	minGroups           = 3   // groups of disruptions close together
	maxGroups           = 8
	minFollowUpDelay    = 0.5 // a second disruption comes so long after a first
	maxFollowUpDelay    = 4.0
	chanceOfSecond      = 0.75 // that a group has a second disruption
	chanceOfThird       = 0.35 // and a third
	chanceOfReturn      = 0.3  // that a further one is timed by the end of the one before, not by its beginning
	returnBefore        = 0.5  // from so long before that end
	returnAfter         = 1.5  // to so long after it
	chanceOfRepeat      = 0.2  // that a further one is the one before once more
	chanceOfChanges     = 0.8  // that a series of changes of the configuration goes on beside
	changeInterval      = 1.2
	minChanges          = 4
	maxChanges          = 16
	chanceOfAckLost     = 0.5 // that acknowledgements of that series are lost
	ackLostDuration     = 12.0
	ackLostShare        = 0.6
	chanceOfFinalFault  = 0.4
	maxAffectedShare    = 0.6  // sum of the shares of servers that a day takes away or degrades
	maxRemovedShare     = 0.25 // of those that don't come back
	rollingRestartSteps = 3    // about as many machines does a rolling restart affect
	drainedShare        = 0.07 // of the servers, that leave after one machine's return
	maxPostponement     = 12.0 // a loss that doesn't fit yet is put off by this at most
)

// finalFaultDowntime is how long a final fault keeps machines down.
var finalFaultDowntime = span{0.5, 1.6}

// dayBuilder is a day in the making.
type dayBuilder struct {
	*Generator
	stream   randstream.Stream
	losses   lossLedger
	affected float64 // share of servers taken away or degraded so far
	removed  float64 // of those that don't come back
	day      *Day
}

// addGroup adds a disruption and others close to it: while it lasts, while its machines come back, or just after. A round given
// with a kind picks the kind's variant in turn.
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
		if d.stream.Chance(chanceOfRepeat) && last.Kind != kindBurst { // bursts on top of each other are overload and nothing else
			last = d.repeat(last, at)
			continue
		}
		if further, ok := d.add(*d.pickKind(), nil, at); ok {
			last = further
		}
	}
}

// followUpTime draws a moment at which the system recovers from a disruption.
func (d *dayBuilder) followUpTime(of Disruption) float64 {
	if d.stream.Chance(chanceOfReturn) {
		return max(of.At, of.At+durationOf(of)+d.stream.Uniform(-returnBefore, returnAfter))
	}
	return of.At + d.stream.Uniform(minFollowUpDelay, maxFollowUpDelay)
}

// durationOf is how long a disruption goes on, its steps together.
func durationOf(of Disruption) float64 {
	if of.Duration > 0 {
		return of.Duration
	}
	if of.Interval > 0 {
		return of.Interval * float64(max(1, of.Count))
	}
	return 1
}

// pickKind draws one by weight.
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

// add draws a disruption of a kind and adds it to the day, unless it would lose more than is tolerated.
func (d *dayBuilder) add(kind Kind, round *uint64, at float64) (Disruption, bool) {
	return d.admit(d.drawDisruption(kind, round, at))
}

// repeat adds a disruption once more at a later moment. It returns the later one, or the first if that didn't fit.
func (d *dayBuilder) repeat(first Disruption, at float64) Disruption {
	later := first
	later.At = rounded(at)
	if admitted, ok := d.admit(later); ok {
		return admitted
	}
	return first
}

// admit adds a disruption to the day, put off to the moment from which its loss fits, and reports whether it did.
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

// leavesCapacity reports whether enough servers are left after a disruption, and notes what it takes. A day without them is
// overload, in which nothing else shows.
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

// addConfigChanges adds a series of configuration changes by the operator, beside the rest.
func (d *dayBuilder) addConfigChanges() {
	begin := d.stream.Uniform(earliestDisruption, d.Length/2)
	at := begin
	for range minChanges + d.stream.IntN(maxChanges-minChanges+1) {
		d.admit(Disruption{At: rounded(at), Kind: kindConfigChange, Planned: true, Variant: variantIdle})
		at += changeInterval
	}
	if d.stream.Chance(chanceOfAckLost) {
		d.admit(Disruption{At: rounded(begin), Kind: kindAckLost, Duration: ackLostDuration, Magnitude: ackLostShare})
	}
}

// addFinalFault draws the fault that the day ends with.
func (d *dayBuilder) addFinalFault() {
	drawn := finalFaults[d.stream.IntN(len(finalFaults))]
	d.day.FinalFault = &FinalFault{Kind: drawn.kind, Variant: d.oneOf(drawn.variants), Downtime: d.drawWithin(finalFaultDowntime)}
}
