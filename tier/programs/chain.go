package programs

import "slices"

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
	for id := previous; id != ""; {
		each, retained := p.turns[id]
		if !retained {
			return nil, "", false
		}
		reversed = append(reversed, each.output, each.input)
		id = each.previous
	}
	slices.Reverse(reversed)
	return reversed, last.host, true
}

// retain stores a turn; its chain lasts as long as it does.
func (p *program) retain(c End) {
	expires := c.Now + c.RetentionMS + clockSkew
	p.turns[c.Request] = turn{previous: c.Previous, input: c.Input, output: c.Output, host: c.Host, expiresAt: expires}
	for id := c.Previous; id != ""; {
		each, retained := p.turns[id]
		if !retained {
			return
		}
		each.expiresAt = max(each.expiresAt, expires)
		p.turns[id] = each
		id = each.previous
	}
}
