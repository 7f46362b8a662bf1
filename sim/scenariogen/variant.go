package scenariogen

import (
	"slices"
	"strings"
)

// drawVariant draws the words of a disruption's variant: a variant of its kind, then a selector of machines or servers, then follow-ups.
func (d *dayBuilder) drawVariant(kind Kind, s kindSpec, round *uint64) string {
	words := d.drawKindVariant(kind, s, round)
	switch s.affects {
	case affectsServers:
		if d.stream.Chance(chanceOfServers) {
			words = words.with(d.oneOf(serverSelectors))
		}
	case affectsMachines, affectsCore:
		words = d.drawMachineVariant(words)
	}
	if strings.HasSuffix(kind.Name, cutSuffix) && !slices.ContainsFunc(words, isCutEnding) && d.stream.Chance(chanceOfCutEnding) {
		words = words.with(d.oneOf(cutEndings))
	}
	if kind.Name == kindRollTerm && d.stream.Chance(chanceOfBusy) {
		words = words.with(busyVariant)
	}
	return strings.Join(words, " ")
}

// drawKindVariant draws from the variants of a kind. A non-nil round selects the first variant instead of a random choice.
func (d *dayBuilder) drawKindVariant(kind Kind, s kindSpec, round *uint64) variantWords {
	var words variantWords
	choices := d.variantsOf(kind, s)
	if round != nil && len(choices) > 0 {
		words = words.with(choices[*round%uint64(len(choices))])
	} else {
		words = words.with(d.oneOf(choices))
	}
	if (s.affects == affectsMachines || s.affects == affectsCore) && d.stream.Chance(chanceOfPair) {
		words = words.with(d.oneOf(choices))
	}
	if len(words) > 0 && len(kind.Additions) > 0 && d.stream.Chance(chanceOfAddition) {
		words = words.with(d.oneOf(kind.Additions))
	}
	return words
}

// drawMachineVariant adds a selector of machines and the follow-ups for the time when they are back, each at random.
func (d *dayBuilder) drawMachineVariant(words variantWords) variantWords {
	if d.stream.Chance(chanceOfSelector) && !slices.ContainsFunc(words, isSelector) {
		words = words.with(d.oneOf(machineSelectors))
	}
	all := d.stream.Chance(chanceOfAll)
	for _, word := range machineFollowUps {
		if all || d.stream.Chance(chanceOfOne) {
			words = words.with(word)
		}
	}
	return words
}

// variantWords holds the words of a variant without duplicates.
type variantWords []string

// with returns the words with those words of the text added that are not yet among them.
func (w variantWords) with(text string) variantWords {
	for _, word := range strings.Fields(text) {
		w = appendMissing(w, word)
	}
	return w
}

func isSelector(word string) bool { return slices.Contains(machineSelectors, word) }

func isCutEnding(word string) bool { return slices.Contains(cutEndings, word) }

// variantsOf returns the possible variants of a kind: those of the list, those of its spec, those that the site uses, and the empty
// variant. Kinds whose variant says what is changed have no empty variant.
func (d *dayBuilder) variantsOf(kind Kind, s kindSpec) []string {
	choices := slices.Concat(kind.Variants, s.variants, d.site.Variants[kind.Name])
	if !slices.Contains([]string{kindConfigChange, kindBadConfig}, kind.Name) {
		choices = append(choices, "")
	}
	return choices
}
