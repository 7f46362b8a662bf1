package faultsim

import (
	"slices"

	"otterseam/tier/consensus"
)

// survivableLosses returns the number of votes that the group can lose. While its members change, neither the new nor the previous
// members may lose more than they can. Half of an even number of votes may be lost if each loss can be proved, which takes a response
// from the machine: a removed machine doesn't respond.
func (c *controlSimulation) survivableLosses() int {
	votes := c.spareVotes(c.newest.Members)
	if len(c.newest.Previous) > 0 {
		votes = min(votes, c.spareVotes(c.newest.Previous))
	}
	return votes
}

func (c *controlSimulation) spareVotes(members []consensus.Member) int {
	for _, member := range members {
		if c.isMachineRemoved(member.Address) {
			return (len(members) - 1) / 2
		}
	}
	return len(members) / 2
}

func (c *controlSimulation) isMachineRemoved(address string) bool {
	for _, n := range c.nodes {
		if n.address == address {
			return n.removed
		}
	}
	return false
}

// protectingIDs returns the identities on which the group depends for in-sync replicas or for votes.
func (c *controlSimulation) protectingIDs() []uint64 {
	all := append([]uint64(nil), c.newest.InSync...)
	for _, member := range c.newest.Voters() {
		if !slices.Contains(all, member.ID) {
			all = append(all, member.ID)
		}
	}
	return all
}

// drain stops a process as planned. The process starts again with its disk.
func (c *controlSimulation) drain(n *node) {
	n.draining = true
	p := c.processes[n]
	n.afterIfRunning(0, func() {
		p.exitWhenDrained(c.now()+controlDrainTimeout, always, func() { c.after(c.draw(restartDelays), n.start) })
	})
}

// replacementDelays is the range of times for which an old machine runs beside its replacement.
var replacementDelays = delays{300, 1500}

// replaceOldest replaces the machine with the oldest disk as planned: it starts a new machine, then drains and removes the old one.
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
	replacement := c.newMachine(false)
	replacement.start()
	oldest.afterIfRunning(c.draw(replacementDelays), func() {
		oldest.draining = true
		allowed := func() bool { return c.mayRemove(oldest, a) }
		c.processes[oldest].exitWhenDrained(c.now()+controlDrainTimeout, allowed, func() { c.retireMachine(oldest, a) })
	})
}

func always() bool { return true }

// mayRemove reports whether a machine may be removed. The removal of a machine on which the group still depends counts as a loss, and
// has to wait until the group tolerates one.
func (c *controlSimulation) mayRemove(n *node, a *adversary) bool {
	odd := len(c.newest.Members)%2 == 1 && (len(c.newest.Previous) == 0 || len(c.newest.Previous)%2 == 1)
	if slices.Contains(c.protectingIDs(), n.identity) {
		return odd && a.mayLoseDisk()
	}
	return odd || len(a.openLosses) == 0 // if half of the votes are lost, the machine's response is needed to prove it
}

// retireMachine removes a machine. The removal counts as a loss if the group still depends on the machine.
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
