// Package gossip simulates the messages between API gateways: they are late or lost, and a gateway takes in only so many a second.
// It does not read them.
package gossip

import (
	"otterseam/sim/eventqueue"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// MaxMessageBytes is how long a message may be. A longer one is lost.
const MaxMessageBytes = 256

// Network carries the messages of a simulated day.
type Network struct {
	// Sent and Arrived count messages, one for each receiver.
	Sent, Arrived float64

	queue     *eventqueue.Queue
	random    randstream.Stream
	rate      float64 // messages a second that a gateway takes in
	meanDelay float64 // seconds
	loss      overlap.Values
	receivers []receiver
}

// receiver limits what a gateway takes in.
type receiver struct {
	tokens     float64 // messages that it may still take in, as of refilledAt
	refilledAt float64
}

// New makes the network of a day.
func New(queue *eventqueue.Queue, peers *scenario.Peers, gateways int, seed uint64) *Network {
	n := &Network{
		queue:     queue,
		random:    randstream.New(seed, "post"), // the name gives the numbers: it stays as it was
		rate:      peers.MessageRate.Float(),
		meanDelay: peers.Delay.Float(),
		loss:      overlap.Values{peers.Loss.Float()},
		receivers: make([]receiver, gateways),
	}
	for i := range n.receivers {
		n.receivers[i].tokens = n.rate
	}
	return n
}

// Send puts a message on its way; arrived is called if it gets there.
func (n *Network) Send(to int, text string, arrived func()) {
	n.Sent++
	if len(text) > MaxMessageBytes || n.loss.Any(n.random.Chance) {
		return
	}
	n.queue.ScheduleAfter(n.random.Exponential(n.meanDelay), func() {
		if !n.receivers[to].take(n.queue.Now(), n.rate) {
			return
		}
		n.Arrived++
		arrived()
	})
}

// take says whether one more message may come in, at so many a second.
func (r *receiver) take(now, rate float64) bool {
	r.tokens = min(rate, r.tokens+rate*(now-r.refilledAt))
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// SetLoss has a further part of the messages get lost, or no longer.
func (n *Network) SetLoss(part float64, begin bool) { n.loss.Toggle(part, begin) }
