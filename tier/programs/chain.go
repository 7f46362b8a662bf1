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

// chain returns the inputs and outputs of the turns that a new turn continues, the oldest first, and the host that ran the last of
// them. found is false if one of these turns is not retained, or no longer.
func (p *program) chain(previous string, now int64) (parts [][]byte, host string, found bool) {
	if previous == "" {
		return nil, "", true
	}
	var reversed [][]byte
	last, retained := p.turns[previous]
	if !retained || now > last.expiresAt {
		return nil, "", false
	}
	first := previous
	for _, each := range p.lineage(previous) {
		reversed = append(reversed, each.output, each.input)
		first = each.previous
	}
	if first != "" {
		return nil, "", false
	}
	slices.Reverse(reversed)
	return reversed, last.host, true
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

// retain stores a turn and extends the retention of its predecessors to at least its own. A turn that would be its own predecessor is
// not stored: its ID is that of an earlier turn, which is kept.
func (p *program) retain(c End) {
	for id := range p.lineage(c.Previous) {
		if id == c.Request {
			return
		}
	}
	if c.Request == c.Previous {
		return
	}
	expires := c.Now + c.RetentionMS + clockSkew
	p.turns[c.Request] = turn{previous: c.Previous, input: c.Input, output: c.Output, host: c.Host, expiresAt: expires}
	for id, each := range p.lineage(c.Previous) {
		each.expiresAt = max(each.expiresAt, expires)
		p.turns[id] = each
	}
}
