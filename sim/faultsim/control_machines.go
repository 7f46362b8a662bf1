package faultsim

import (
	"slices"

	"otterseam/tier/consensus"
)

// survivableLosses is how many lost votes a group of its size can do without; while its members change, so many of those before
// too. Half of an even number may be lost, if each loss can be proved: a machine that has gone for good answers nothing.
func (c *controlSimulation) survivableLosses() int {
	votes := c.spareVotes(c.newest.Members)
	if len(c.newest.Previous) > 0 {
		votes = min(votes, c.spareVotes(c.newest.Previous))
	}
	return votes
}

func (c *controlSimulation) spareVotes(members []consensus.Member) int {
	for _, member := range members {
		if c.machineGone(member.Address) {
			return (len(members) - 1) / 2
		}
	}
	return len(members) / 2
}

func (c *controlSimulation) machineGone(address string) bool {
	for _, n := range c.nodes {
		if n.address == address {
			return n.removed
		}
	}
	return false
}

// protectingIDs are the identities that the group counts upon: for copies or for votes.
func (c *controlSimulation) protectingIDs() []uint64 {
	all := append([]uint64(nil), c.newest.InSync...)
	for _, member := range c.newest.Voters() {
		if !slices.Contains(all, member.ID) {
			all = append(all, member.ID)
		}
	}
	return all
}

// drain stops a process as planned; it starts again with its disk.
func (c *controlSimulation) drain(n *node) {
	n.draining = true
	p := c.processes[n]
	n.afterIfRunning(0, func() {
		p.exitWhenDrained(c.now()+controlDrainTimeout, always, func() { c.after(c.draw(restartDelays), n.start) })
	})
}

// replacementDelays are how long an old machine runs beside the one that replaces it.
var replacementDelays = delays{300, 1500}

// replaceOldest replaces the machine with the oldest disk as planned: a new one comes first, then the old one is stopped for good.
func (c *controlSimulation) replaceOldest(a *adversary) {
	oldest := c.nodes[0]
	for _, n := range c.nodes {
		if n.removed || !n.up || n.draining {
			continue
		}
		if oldest.removed || n.diskCreatedAt < oldest.diskCreatedAt {
			oldest = n
		}
	}
	if oldest.removed || !oldest.up || oldest.draining || c.machineCount() > c.options.Members {
		return
	}
	fresh := c.newMachine(false)
	fresh.start()
	oldest.afterIfRunning(c.draw(replacementDelays), func() {
		oldest.draining = true
		allowed := func() bool { return c.mayRemove(oldest, a) }
		c.processes[oldest].exitWhenDrained(c.now()+controlDrainTimeout, allowed, func() { c.retireMachine(oldest, a) })
	})
}

func always() bool { return true }

// mayRemove reports whether a machine may go for good. One that the group still counts upon is a loss, which waits its turn.
func (c *controlSimulation) mayRemove(n *node, a *adversary) bool {
	odd := len(c.newest.Members)%2 == 1 && (len(c.newest.Previous) == 0 || len(c.newest.Previous)%2 == 1)
	if slices.Contains(c.protectingIDs(), n.identity) {
		return odd && a.mayLoseDisk()
	}
	return odd || len(a.openLosses) == 0 // where half of the votes are lost, the machine's answer is the proof
}

// retireMachine takes a machine away for good.
func (c *controlSimulation) retireMachine(n *node, a *adversary) {
	if slices.Contains(c.protectingIDs(), n.identity) {
		a.openLosses[n.identity] = loss{}
	}
	n.removed = true
}

func (c *controlSimulation) machineCount() int {
	count := 0
	for _, n := range c.nodes {
		if !n.removed {
			count++
		}
	}
	return count
}
