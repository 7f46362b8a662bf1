package network

import (
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// resetBeforeWork is the probability that a reset of a connection happens before the host begins to work on the request.
const resetBeforeWork = 0.5

// Network models the network between zones.
type Network struct {
	withinZone   float64 // seconds one way
	betweenZones float64
	jitter       float64 // mean of the random part of a delay, relative to the constant part
	random       randstream.Stream

	isolations   []int // by zone: how many faults isolate it
	delayFactors overlap.Values
	resetShares  overlap.Values
	lossShares   overlap.Values
}

// New returns the network of a scenario.
func New(config *scenario.Network, zones int, seed uint64) *Network {
	return &Network{
		withinZone:   config.WithinZone.Float(),
		betweenZones: config.BetweenZones.Float(),
		jitter:       config.Jitter.Float(),
		random:       randstream.New(seed, "network"),
		isolations:   make([]int, zones),
	}
}

// Delay draws how long a message takes from one zone to another, in seconds.
func (n *Network) Delay(from, to int) float64 {
	delay := n.withinZone
	if from != to {
		delay = n.betweenZones
	}
	delay *= n.delayFactors.Product()
	return delay + n.random.Exponential(delay*n.jitter)
}

// Partitioned reports whether a partition separates two zones.
func (n *Network) Partitioned(a, b int) bool {
	return a != b && (n.isolations[a] > 0 || n.isolations[b] > 0)
}

// DrawReset draws whether the connection of an attempt is reset, and if so, whether before the host begins to work on the request.
func (n *Network) DrawReset() (reset, beforeWork bool) {
	if !n.resetShares.Any(n.random.Chance) {
		return false, false
	}
	return true, n.random.Chance(resetBeforeWork)
}

// DrawLostAnswer draws whether an answer never arrives.
func (n *Network) DrawLostAnswer() bool { return n.lossShares.Any(n.random.Chance) }
