// Package network owns the way between machines: how long it takes, and what is cut off, reset or lost at present.
// It must never know what travels.
package network

import (
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// Network is the way between zones.
type Network struct {
	near, far, jitter float64
	dice              randstream.Stream
	zones             []int // how many troubles cut each off
	stretch           overlap.Values
	reset, half       overlap.Values
}

// New makes the network of a day.
func New(d *scenario.Network, zones int, seed uint64) *Network {
	return &Network{
		near: d.Near.V(), far: d.Far.V(), jitter: d.Jitter.V(), zones: make([]int, zones),
		dice: randstream.New(seed, "network"),
	}
}

// Delay is how long something takes from one zone to another, in seconds.
func (n *Network) Delay(from, to int) float64 {
	way := n.near
	if from != to {
		way = n.far
	}
	way *= n.stretch.Product()
	return way + n.dice.Exponential(way*n.jitter)
}

// Partitioned says that nothing gets from one zone to another.
func (n *Network) Partitioned(a, b int) bool { return a != b && (n.zones[a] > 0 || n.zones[b] > 0) }

// IsolateZone cuts a zone off from all others, or takes one cut back.
func (n *Network) IsolateZone(zone int, begin bool) {
	if begin {
		n.zones[zone]++
	} else {
		n.zones[zone]--
	}
}

// ScaleDelays makes all ways so many times longer, or takes that back; Resets and HalfOpen do so for the shares of
// deliveries whose connection is reset, and of answers that never arrive.
func (n *Network) ScaleDelays(by float64, begin bool)         { n.stretch.Toggle(by, begin) }
func (n *Network) ResetConnections(share float64, begin bool) { n.reset.Toggle(share, begin) }
func (n *Network) LoseAnswers(share float64, begin bool)      { n.half.Toggle(share, begin) }

// DrawReset says that the connection under this delivery is reset, and whether before it reached the host's work.
func (n *Network) DrawReset() (reset, before bool) {
	if !n.reset.Any(n.dice.Chance) {
		return false, false
	}
	return true, n.dice.Chance(0.5)
}

// DrawLostAnswer says that this answer never arrives.
func (n *Network) DrawLostAnswer() bool { return n.half.Any(n.dice.Chance) }
