// Package gossip owns the mail between api gateways: late, lost, and no more than one takes in. It must never read it.
package gossip

import (
	"otterseam/sim/eventqueue"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// Most is how long a message may be, in bytes.
const Most = 256

// Post is the mail of a day.
type Post struct {
	q     *eventqueue.Queue
	dice  randstream.Stream
	rate  float64
	delay float64
	loss  overlap.Values
	room  []float64 // messages that each may still take in, as of at
	at    []float64
	// Sent and Arrived count messages, one for each receiver.
	Sent, Arrived float64
}

// New makes the mail of a day.
func New(q *eventqueue.Queue, d *scenario.Peers, gateways int, seed uint64) *Post {
	p := &Post{
		q: q, dice: randstream.New(seed, "post"), rate: d.Mail.V(), delay: d.Delay.V(), loss: overlap.Values{d.Loss.V()},
		room: make([]float64, gateways), at: make([]float64, gateways),
	}
	for i := range p.room {
		p.room[i] = p.rate
	}
	return p
}

// Send puts a message on its way; arrive is called if it gets there.
func (p *Post) Send(to int, text string, arrive func()) {
	if p.Sent++; len(text) > Most || p.loss.Any(p.dice.Chance) {
		return
	}
	p.q.ScheduleAfter(p.dice.Exponential(p.delay), func() {
		now := p.q.Now()
		p.room[to] = min(p.rate, p.room[to]+p.rate*(now-p.at[to]))
		if p.at[to] = now; p.room[to] < 1 {
			return
		}
		p.room[to]--
		p.Arrived++
		arrive()
	})
}

// Loses makes it lose a further part.
func (p *Post) Loses(part float64, begin bool) { p.loss.Toggle(part, begin) }
