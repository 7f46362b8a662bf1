package programs

import (
	"iter"
	"slices"
)

// clockSkew is a margin in milliseconds that is added to the retention period of a turn, because the clocks of machines differ.
const clockSkew = 10 * 1000

// minTurnBytes is the encoded size of a turn whose strings and blobs are empty.
const minTurnBytes = 5*minBlobBytes + 8

// turn is a retained turn.
type turn struct {
	previous  string
	input     []byte
	output    []byte
	host      string
	expiresAt int64 // compared with the times that commands carry
}

// chain holds the turns that a new turn continues.
type chain struct {
	parts     [][]byte // inputs and outputs, the oldest first
	host      string   // the host that ran the last turn
	expiresAt int64    // when the first of the turns expires
}

// chain returns the turns that a new turn continues. found is false if one of these turns is not retained, or no longer.
func (p *program) chain(previous string, now int64) (c chain, found bool) {
	if previous == "" {
		return chain{}, true
	}
	last, retained := p.turns[previous]
	if !retained || now > last.expiresAt {
		return chain{}, false
	}
	c = chain{host: last.host, expiresAt: last.expiresAt}
	first := previous
	for _, each := range p.lineage(previous) {
		c.parts = append(c.parts, each.output, each.input)
		c.expiresAt = min(c.expiresAt, each.expiresAt)
		first = each.previous
	}
	if first != "" {
		return chain{}, false
	}
	slices.Reverse(c.parts)
	return c, true
}

// lineage yields a turn and its predecessors, the newest first, up to the first one that is not retained. It terminates even if they
// form a cycle: retain prevents cycles, but a state stored by an older version may contain one.
func (p *program) lineage(id string) iter.Seq2[string, turn] {
	return func(yield func(string, turn) bool) {
		for range len(p.turns) {
			each, retained := p.turns[id]
			if !retained || !yield(id, each) {
				return
			}
			id = each.previous
		}
	}
}

// chainTTL returns the ChainTTL of the result of a Begin. A turn that would be its own predecessor is rejected by retain while its chain
// exists. It must not be stored with the texts of its chain instead, because it would replace the earlier turn of its ID.
func (p *program) chainTTL(b Begin, c chain) int64 {
	switch {
	case b.Previous == "":
		return 0
	case p.precedes(b.Request, b.Previous):
		return unlimitedChainTTL
	default:
		return max(c.expiresAt-b.Now, 0) + 1 // a sweep deletes a turn after its time of expiry
	}
}

// precedes reports whether a turn is another one or one of its predecessors.
func (p *program) precedes(id, other string) bool {
	for predecessor := range p.lineage(other) {
		if predecessor == id {
			return true
		}
	}
	return id == other
}

// retain stores a turn and extends the retention of its predecessors to at least its own. It returns false for a turn that would be its
// own predecessor, which is not stored: its ID is that of an earlier turn, which is kept.
func (s *State) retain(p *program, c End) bool {
	if p.precedes(c.Request, c.Previous) {
		return false
	}
	expires := c.Now + c.RetentionMS + clockSkew
	s.setTurn(p, c.Request, turn{previous: c.Previous, input: c.Input, output: c.Output, host: c.Host, expiresAt: expires})
	for id, each := range p.lineage(c.Previous) {
		each.expiresAt = max(each.expiresAt, expires)
		p.turns[id] = each
	}
	return true
}
