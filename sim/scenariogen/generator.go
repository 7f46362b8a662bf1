package scenariogen

import (
	"cmp"
	"slices"
	"strconv"

	"otterseam/sim/randstream"
)

// Generator makes days of one site.
type Generator struct {
	site  *Site
	kinds []Kind
	// Length is how long the days are, in seconds.
	Length float64
}

// NewGenerator returns a generator for a site and the kinds in force there.
func NewGenerator(site *Site, kinds []Kind) *Generator {
	return &Generator{site: site, kinds: kinds, Length: site.Length}
}

// Day returns the day of a seed. The same seed gives the same day. The seed's number picks the kind of the day's first
// disruption and its variant in turn, so that consecutive seeds meet each kind and each variant.
func (g *Generator) Day(seed uint64) *Day {
	builder := &dayBuilder{
		Generator: g,
		stream:    randstream.New(seed, "own day of "+g.site.Name),
		losses:    lossLedger{limit: g.site.ToleratedMachines},
		day: &Day{
			Name:   "own-" + strconv.FormatUint(seed, 10),
			Length: rounded(g.Length),
		},
	}
	builder.day.Seed = builder.stream.Uint64() >> 34
	first := g.kinds[seed%uint64(len(g.kinds))]
	round := seed / uint64(len(g.kinds))
	builder.addGroup(&first, &round)
	for range minGroups - 1 + builder.stream.IntN(maxGroups-minGroups+1) {
		builder.addGroup(nil, nil)
	}
	if builder.stream.Chance(chanceOfChanges) {
		builder.addConfigChanges()
	}
	if builder.stream.Chance(chanceOfFinalFault) {
		builder.addFinalFault()
	}
	slices.SortStableFunc(builder.day.Disruptions, func(a, b Disruption) int { return cmp.Compare(a.At, b.At) })
	return builder.day
}

// fileName tells days of several sites apart.
func (g *Generator) fileName(day *Day) string { return g.site.Name + "-" + day.Name }
