package scenariogen

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"otterseam/sim/randstream"
)

// Shape of a generated day.
const (
	firstMoment     = 1.5  // no disruption before, in seconds
	quietEnd        = 3.0  // none in the last seconds before a day's end
	fewestScenes    = 3    // groups of disruptions close together
	mostScenes      = 8    //
	repairEarliest  = 0.5  // a second disruption comes so long after a first
	repairLatest    = 4.0  //
	chanceOfSecond  = 0.75 // that a scene has a second disruption
	chanceOfThird   = 0.35 // and a third
	chanceOfReturn  = 0.3  // that a further one is timed by the end of the one before, not by its beginning
	returnBefore    = 0.5  // from so long before that end
	returnAfter     = 1.5  // to so long after it
	chanceOfAgain   = 0.2  // that a further one is the one before once more
	chanceOfChanges = 0.8  // that a row of changes of the configuration goes on beside
	changeGap       = 1.2
	fewestChanges   = 4
	mostChanges     = 16
	chanceOfAckLost = 0.5 // that acknowledgements of that row are lost
	ackLostFor      = 12.0
	ackLostShare    = 0.6
	chanceOfClosing = 0.4
	mostHostsStruck = 0.6  // sum of the shares of servers that a day takes away or spoils
	mostHostsGone   = 0.25 // of those that don't come back
	rolledMachines  = 3    // about as many does a rolling restart strike
	hostsDrained    = 0.07 // of the servers, that leave after one machine's return
	longestWait     = 12.0 // a loss that doesn't fit yet is put off by this at most
)

// closingDown is how long a final fault keeps machines down.
var closingDown = span{0.5, 1.6}

// Generator makes days of one site.
type Generator struct {
	site  *Site
	kinds []Kind
	// LengthS is the length of the days.
	LengthS float64
}

// NewGenerator makes one for a site and the kinds in force there.
func NewGenerator(site *Site, kinds []Kind) *Generator {
	return &Generator{site: site, kinds: kinds, LengthS: site.LengthS}
}

// Day makes the day of a seed. The same seed gives the same day. The seed's number picks the kind of the day's first
// disruption and its variant in turn, so that a row of seeds meets each kind and each variant.
func (g *Generator) Day(seed uint64) *Day {
	draw := &drawing{
		Generator: g,
		stream:    randstream.New(seed, "own day of "+g.site.Name),
		lost:      losses{most: g.site.Machines},
		day: &Day{
			Name:    "own-" + strconv.FormatUint(seed, 10),
			LengthS: rounded(g.LengthS),
		},
	}
	draw.day.Seed = draw.stream.Uint64() >> 34
	first := g.kinds[seed%uint64(len(g.kinds))]
	round := seed / uint64(len(g.kinds))
	draw.scene(&first, &round)
	for range fewestScenes - 1 + draw.stream.IntN(mostScenes-fewestScenes+1) {
		draw.scene(nil, nil)
	}
	if draw.stream.Chance(chanceOfChanges) {
		draw.rowOfChanges()
	}
	if draw.stream.Chance(chanceOfClosing) {
		draw.closing()
	}
	slices.SortStableFunc(draw.day.Disruptions, func(a, b Disruption) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return draw.day
}

// drawing is a day in the making.
type drawing struct {
	*Generator
	stream randstream.Stream
	lost   losses
	struck float64 // share of servers taken away or spoiled so far
	gone   float64 // of those that don't come back
	day    *Day
}

// scene adds a disruption and others close to it: while it lasts, while its machines come back, or just after. A round given
// with a kind picks the kind's variant in turn.
func (d *drawing) scene(kind *Kind, round *uint64) {
	at := d.stream.Uniform(firstMoment, max(firstMoment, d.LengthS-quietEnd-repairLatest))
	if kind == nil {
		kind = d.drawKind()
	}
	last, ok := d.add(*kind, round, at)
	if !ok {
		return
	}
	for _, chance := range []float64{chanceOfSecond, chanceOfThird} {
		if !d.stream.Chance(chance) {
			return
		}
		at = d.followingMoment(last)
		if d.stream.Chance(chanceOfAgain) && last.Kind != kindBurst { // bursts on top of each other are overload and nothing else
			last = d.again(last, at)
			continue
		}
		if further, ok := d.add(*d.drawKind(), nil, at); ok {
			last = further
		}
	}
}

// followingMoment is a moment of the repair of a disruption.
func (d *drawing) followingMoment(of Disruption) float64 {
	if d.stream.Chance(chanceOfReturn) {
		return max(of.At, of.At+lasts(of)+d.stream.Uniform(-returnBefore, returnAfter))
	}
	return of.At + d.stream.Uniform(repairEarliest, repairLatest)
}

// drawKind draws one by weight.
func (d *drawing) drawKind() *Kind {
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

// add draws a disruption of a kind and takes it in, unless it would lose more than is tolerated.
func (d *drawing) add(kind Kind, round *uint64, at float64) (Disruption, bool) {
	return d.admit(d.fields(kind, round, at))
}

// again takes a disruption in once more at a later moment; what it gives is the later one, or the first if that didn't fit.
func (d *drawing) again(first Disruption, at float64) Disruption {
	later := first
	later.At = rounded(at)
	if admitted, ok := d.admit(later); ok {
		return admitted
	}
	return first
}

// admit takes in a disruption, put off to the moment from which its loss fits.
func (d *drawing) admit(disruption Disruption) (Disruption, bool) {
	if loss, counts := d.site.lossOf(disruption); counts {
		moment := d.lost.earliest(loss)
		if moment-loss.From > longestWait {
			return disruption, false
		}
		disruption.At = upwards(moment)
		loss, _ = d.site.lossOf(disruption)
		if disruption.At > d.LengthS-quietEnd || !d.lost.fits(loss) {
			return disruption, false
		}
		d.lost.add(loss)
	}
	if disruption.At > d.LengthS-quietEnd || !d.leavesCapacity(disruption) {
		return disruption, false
	}
	d.day.Disruptions = append(d.day.Disruptions, disruption)
	return disruption, true
}

// leavesCapacity says whether enough servers are left after a disruption, and books what it takes. A day without them is
// overload, in which nothing else shows.
func (d *drawing) leavesCapacity(disruption Disruption) bool {
	words := strings.Fields(disruption.How)
	share, gone := 0.0, 0.0
	if specs[disruption.Kind].spoils {
		share = disruption.Share
		if slices.Contains(words, variantAll) {
			share = 1
		}
		if disruption.Kind == kindScaleIn || slices.Contains(words, variantGone) {
			gone = share
		}
	}
	if specs[disruption.Kind].target != targetServers && slices.Contains(words, variantDrain) {
		gone = hostsDrained
		if disruption.Kind == kindRollTerm {
			gone *= rolledMachines
		}
	}
	if d.struck+share > mostHostsStruck || d.gone+gone > mostHostsGone {
		return false
	}
	d.struck += share
	d.gone += gone
	return true
}

// upwards rounds a moment to the precision of a day's file, never to an earlier one.
func upwards(at float64) float64 { return math.Ceil(at*1000-1e-6) / 1000 }

// lasts is how long a disruption goes on, its steps together.
func lasts(of Disruption) float64 {
	if of.ForS > 0 {
		return of.ForS
	}
	if of.GapS > 0 {
		return of.GapS * float64(max(1, of.Count))
	}
	return 1
}

// rowOfChanges lets the operator change the configuration again and again beside the rest.
func (d *drawing) rowOfChanges() {
	begin := d.stream.Uniform(firstMoment, d.LengthS/2)
	at := begin
	for range fewestChanges + d.stream.IntN(mostChanges-fewestChanges+1) {
		d.admit(Disruption{At: rounded(at), Kind: kindConfigChange, Planned: true, How: variantIdle})
		at += changeGap
	}
	if d.stream.Chance(chanceOfAckLost) {
		d.admit(Disruption{At: rounded(begin), Kind: kindAckLost, ForS: ackLostFor, X: ackLostShare})
	}
}

func (d *drawing) closing() {
	c := closings[d.stream.IntN(len(closings))]
	d.day.Closing = &Closing{Kind: c.kind, How: d.oneOf(c.hows), DownS: d.within(closingDown)}
}
