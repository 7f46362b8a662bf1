package owndays

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"otterseam/lab/dice"
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
	chanceOfChanges = 0.6  // that a row of changes of the configuration goes on beside
	changeGap       = 1.4
	chanceOfClosing = 0.4
	longestWait     = 12.0 // a loss that doesn't fit yet is put off by this at most
	chanceOfPair    = 0.35 // that an entry about machines has two variants of its kind
	chanceOfAll     = 0.2  // that all follow-ups come together
	chanceOfOne     = 0.25 // that one of them comes, otherwise
	defaultForS     = 5.0  // the bench's, where an entry names none
	shortestLast    = 0.3  // of a disruption
	kindBurst       = "burst"
	spareMachines   = 1 // that join by one add_nodes of a counted class
)

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
		stream:    dice.New(seed, "own day of "+g.site.Name),
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
	stream dice.Stream
	lost   losses
	day    *Day
}

// scene adds a disruption and others close to it: while it lasts, while its machines come back, or just after. A round given
// with a kind picks the kind's variant in turn.
func (d *drawing) scene(kind *Kind, round *uint64) {
	at := d.stream.Between(firstMoment, max(firstMoment, d.LengthS-quietEnd-repairLatest))
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
		return max(of.At, of.At+lasts(of)+d.stream.Between(-returnBefore, returnAfter))
	}
	return of.At + d.stream.Between(repairEarliest, repairLatest)
}

// drawKind draws one by weight.
func (d *drawing) drawKind() *Kind {
	sum := 0.0
	for _, kind := range d.kinds {
		sum += specOf(kind).weight
	}
	left := d.stream.Between(0, sum)
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
	if disruption.At > d.LengthS-quietEnd {
		return disruption, false
	}
	d.day.Disruptions = append(d.day.Disruptions, disruption)
	return disruption, true
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

// fields draws what an entry of a kind says.
func (d *drawing) fields(kind Kind, round *uint64, at float64) Disruption {
	s := specOf(kind)
	entry := Disruption{At: rounded(at), Kind: kind.Name, Planned: s.planned,
		Share: d.within(s.share), X: d.within(s.x), ForS: d.within(s.forS), GapS: d.within(s.gapS), Count: int(d.within(s.count))}
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
	if strings.Contains(entry.How, "one_zone") {
		entry.ToZone = d.oneOf(d.site.Zones)
	}
	return entry
}

func (d *drawing) within(s span) float64 {
	if s == (span{}) {
		return 0
	}
	return rounded(d.stream.Between(s.lo, s.hi))
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
	case entry.Kind == "add_nodes":
		entry.Count = spareMachines
	case entry.Kind == "replace_core" || entry.Kind == "herd_kill" || entry.Kind == "roll_term":
		// one at a time, or all
	case countedOnes && s.loses:
		entry.Share = 0
		entry.Count = 1 + d.stream.IntN(max(1, d.site.Machines))
	}
	if entry.Kind == "roll_term" && d.site.Counted(entry.On) {
		entry.X = 1 // each is back before the next
		entry.GapS = rounded(d.site.CatchUpS + 1)
	}
	if entry.On == classFront && d.stream.Chance(0.25) {
		entry.Zone = d.oneOf(d.site.Zones)
	}
}

func (d *drawing) servers(entry *Disruption) {
	if d.stream.Chance(0.6) {
		entry.Service = d.oneOf(d.site.Services)
	}
	if d.stream.Chance(0.25) {
		entry.Zone = d.oneOf(d.site.Zones)
	}
}

func (d *drawing) traffic(entry *Disruption) {
	if d.stream.Chance(0.5) {
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
	if len(words) > 0 && len(kind.Additions) > 0 && d.stream.Chance(0.3) {
		add(d.oneOf(kind.Additions))
	}
	switch s.target {
	case targetServers:
		if d.stream.Chance(0.15) {
			add(d.oneOf(serverSelectors))
		}
	case targetMachines, targetCore:
		if d.stream.Chance(0.4) && !slices.ContainsFunc(words, isSelector) {
			add(d.oneOf(machineSelectors))
		}
		all := d.stream.Chance(chanceOfAll)
		for _, word := range machineFollowUps {
			if all || d.stream.Chance(chanceOfOne) {
				add(word)
			}
		}
	}
	if strings.HasSuffix(kind.Name, "_cut") && !slices.ContainsFunc(words, isCutEnding) && d.stream.Chance(0.25) {
		add(d.oneOf(cutEndings))
	}
	if kind.Name == "roll_term" && d.stream.Chance(0.4) {
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
	if !slices.Contains([]string{"config_change", "bad_config"}, kind.Name) {
		choices = append(choices, "")
	}
	return choices
}

// rowOfChanges lets the operator change the configuration again and again beside the rest.
func (d *drawing) rowOfChanges() {
	at := d.stream.Between(firstMoment, d.LengthS/2)
	for range 4 + d.stream.IntN(5) {
		d.admit(Disruption{At: rounded(at), Kind: "config_change", Planned: true, How: "idle"})
		at += changeGap
	}
	if d.stream.Chance(0.5) {
		d.admit(Disruption{At: rounded(max(firstMoment, at-8*changeGap)), Kind: "ack_lost", ForS: 12, X: 0.6})
	}
}

func (d *drawing) closing() {
	c := closings[d.stream.IntN(len(closings))]
	d.day.Closing = &Closing{Kind: c.kind, How: d.oneOf(c.hows), DownS: rounded(d.stream.Between(0.5, 1.6))}
}

// lossOf is the span in which an entry has counted machines lost, with their time to catch up. A kill of all at once may come
// whatever is tolerated and is not booked.
func (s *Site) lossOf(d Disruption) (Loss, bool) {
	sp, known := specs[d.Kind]
	if !known {
		sp = spec{loses: d.On != "" && s.Counted(d.On)}
	}
	counted := s.Counted(d.On) || d.On == "" && (sp.target == targetCore || sp.target == targetDisks || d.Kind == "retire")
	if !sp.loses || !counted {
		return Loss{}, false
	}
	lost := Loss{From: d.At, To: d.At + max(1, d.ForS) + s.CatchUpS, Machines: max(1, min(d.Count, s.Machines))}
	switch d.Kind {
	case "add_nodes":
		lost.To = d.At + s.CatchUpS
	case "replace_core":
		lost.To = d.At + d.X + 1 + s.CatchUpS
	case "roll_term":
		lost.To = d.At + 3*d.GapS + s.CatchUpS
	case "retire":
		if strings.Contains(d.How, wipingVariant) {
			lost.Machines = s.Machines
			lost.To += s.CatchUpS
		}
	}
	return lost, true
}
