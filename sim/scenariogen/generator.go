package scenariogen

import (
	"cmp"
	"slices"
	"strconv"

	"otterseam/sim/randstream"
)

// Generator generates days for one site.
type Generator struct {
	site  *Site
	kinds []Kind
	// Length is the length of a day in seconds.
	Length float64
}

// NewGenerator returns a generator for a site and the kinds of disruptions that the bench supports there.
func NewGenerator(site *Site, kinds []Kind) *Generator {
	return &Generator{site: site, kinds: kinds, Length: site.Length}
}

// Day returns the day of a seed. The same seed always gives the same day. The kind and the variant of the first disruption are selected
// by the seed's value rather than drawn, so that consecutive seeds cover all kinds and variants.
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

// fileName returns the name of a day prefixed with the name of the site, which is unique across sites.
func (g *Generator) fileName(day *Day) string { return g.site.Name + "-" + day.Name }
