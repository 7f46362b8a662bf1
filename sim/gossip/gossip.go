// Package gossip simulates the messages between API gateways. Messages are delayed or lost, and a gateway receives only a limited number
// per second. The package does not interpret the messages.
package gossip

import (
	"otterseam/sim/eventqueue"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// MaxMessageBytes is the maximum length of a message. Longer messages are lost.
const MaxMessageBytes = 256

// Network delivers the messages of a simulation.
type Network struct {
	// Sent and Arrived count messages, separately for each receiver.
	Sent, Arrived float64

	queue     *eventqueue.Queue
	random    randstream.Stream
	rate      float64 // messages a second that a gateway can receive
	meanDelay float64 // seconds
	loss      overlap.Values
	receivers []receiver
}

// receiver is a token bucket that limits the messages a gateway receives.
type receiver struct {
	tokens     float64 // messages that may still be received, as of refilledAt
	refilledAt float64
}

// New returns the network of a simulation with the given number of gateways.
func New(queue *eventqueue.Queue, peers *scenario.Peers, gateways int, seed uint64) *Network {
	n := &Network{
		queue:     queue,
		random:    randstream.New(seed, "post"), // the name determines the random numbers, so it must not change
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

// Send sends a message. arrived is called when the message arrives, unless it is lost.
func (n *Network) Send(to int, text string, arrived func()) {
	n.Sent++
	if len(text) > MaxMessageBytes || n.loss.Any(n.random.Chance) {
		return
	}
	n.queue.ScheduleAfter(n.random.Exponential(n.meanDelay), func() {
		if !n.receivers[to].admit(n.queue.Now(), n.rate) {
			return
		}
		n.Arrived++
		arrived()
	})
}

// admit reports whether one more message may be received at a limit of rate messages a second.
func (r *receiver) admit(now, rate float64) bool {
	r.tokens = min(rate, r.tokens+rate*(now-r.refilledAt))
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// SetLoss begins a fault that loses a further fraction of the messages, or ends one that began with the same fraction.
func (n *Network) SetLoss(part float64, begin bool) { n.loss.Toggle(part, begin) }
