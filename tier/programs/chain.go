package programs

import (
	"iter"
	"slices"
)

// clockSkew is added to the time for which a turn is retained, in milliseconds, because clocks of machines differ.
const clockSkew = 10 * 1000

// minTurnBytes is the encoded size of a turn with empty texts.
const minTurnBytes = 5*minBlobBytes + 8

// turn is a retained turn.
type turn struct {
	previous  string
	input     []byte
	output    []byte
	host      string
	expiresAt int64 // by the time that commands carry
}

// chain collects the turns that a new one goes on from, and the host that ran the last of them. It is not found if one of them is not
// retained, or no longer.
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

// lineage yields a turn and those that it goes on from, as far as they are retained. It ends even if they should form a cycle, which
// retain prevents but which a state made by an older version may hold.
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

// retain stores a turn; its chain lasts as long as it does. A turn that would go on from itself is not stored: its ID is that of an
// earlier turn, which stays.
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
