package faultsim

// The kind of a fault is drawn as a number below faultDraws. Each constant is the upper bound of its kind's numbers, which begin at
// the bound before. No fault is injected for numbers from replaceMachineBelow on.
const (
	loseDisksBelow      = 9
	killAllBelow        = 11
	drainSomeBelow      = 14
	replaceMachineBelow = 16
	faultDraws          = 20
)

// Odds of events: an event occurs in one of this many cases.
const (
	triggeredFaultOdds    = 4 // a change of the group triggers a fault
	killAllOdds           = 4 // a fault drawn as killAll kills all processes
	killWhileDrainingOdds = 4 // a draining process is killed
)

var (
	triggeredFaultDelays    = delays{0, 60} // from a change of the group until the fault that it triggers
	diskReplacementDelays   = delays{100, 1500}
	powerLossDelays         = delays{50, 900}
	killWhileDrainingDelays = delays{0, 400}
)

// targetKind is the criterion by which the adversary selects a replica.
type targetKind int

const (
	targetPrimary targetKind = iota
	targetOldestDisk
	targetNewestInSync // the replica admitted last
	targetDraining
	targetAnyInSync
	targetKinds
)

// adversary injects faults at random times and right after changes of the group. It never destroys more disks at once than the group
// tolerates. A loss stops counting once the group has noticed it and acknowledged a later command: from then on the group must survive
// the next loss.
type adversary struct {
	sim              *simulation
	toleratedLosses  int
	maxInterval      int64 // maximum milliseconds between faults
	inSync           func() []uint64
	primary          func() uint64
	survivableLosses func() int // losses that a fully replicated group of its present size survives
	onDiskLost       func()
	drain            func(*node) // stops a process as planned
	replaceMachine   func()      // replaces a machine as planned

	openLosses map[uint64]loss // by lost identity
	disksLost  int
}

// loss is the loss of a disk that still counts.
type loss struct {
	noticed bool   // the group no longer depends on the lost identity
	after   uint32 // newest command when the loss was noticed
}

// injectFault injects a random fault and schedules the next one.
func (a *adversary) injectFault() {
	a.sim.after(a.sim.between(0, a.maxInterval), a.injectFault)
	if a.sim.quiesced {
		return
	}
	switch draw := a.sim.random.Intn(faultDraws); {
	case draw < loseDisksBelow:
		a.loseDisks()
	case draw < killAllBelow:
		a.killAll()
	case draw < drainSomeBelow:
		a.drainSome()
	case draw < replaceMachineBelow:
		a.replaceMachine()
	}
}

// onGroupChange is called after each change of the group, and destroys disks soon after some of them.
func (a *adversary) onGroupChange() {
	if a.sim.oneIn(triggeredFaultOdds) {
		a.sim.after(a.sim.draw(triggeredFaultDelays), func() {
			if !a.sim.quiesced {
				a.loseDisks()
			}
		})
	}
}

// mayLoseDisk updates the losses that count, and reports whether the group tolerates another one.
func (a *adversary) mayLoseDisk() bool {
	counted := map[uint64]bool{}
	for _, id := range a.inSync() {
		counted[id] = true
	}
	for id := range counted {
		if _, known := a.openLosses[id]; !known && a.sim.find(id) == nil {
			a.openLosses[id] = loss{} // the disk was lost or the machine removed just before the replica was admitted
		}
	}
	for id, lost := range a.openLosses {
		switch {
		case !lost.noticed && !counted[id]:
			a.openLosses[id] = loss{noticed: true, after: a.sim.lastCommand}
		case lost.noticed && a.sim.newestAcknowledged > lost.after:
			delete(a.openLosses, id)
		}
	}
	return len(a.openLosses) < min(a.toleratedLosses, a.survivableLosses())
}

// loseDisks destroys one or more disks, as long as the group tolerates the losses.
func (a *adversary) loseDisks() {
	for range 1 + a.sim.random.Intn(a.toleratedLosses) {
		if !a.mayLoseDisk() {
			return
		}
		target := a.target(targetKind(a.sim.random.Intn(int(targetKinds))))
		if target == nil {
			return
		}
		a.openLosses[target.identity] = loss{}
		target.loseDisk(a.sim.draw(diskReplacementDelays))
		a.disksLost++
		a.onDiskLost()
	}
}

// target returns an in-sync replica that meets a criterion, or nil if no replica can be selected. It returns a random in-sync replica
// if none meets the criterion.
func (a *adversary) target(kind targetKind) *node {
	var candidates []*node
	for _, id := range a.inSync() {
		_, lost := a.openLosses[id]
		if n := a.sim.find(id); n != nil && !lost {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := candidates[a.sim.random.Intn(len(candidates))]
	for _, n := range candidates {
		switch {
		case kind == targetPrimary && n.identity == a.primary(),
			kind == targetOldestDisk && n.diskCreatedAt < chosen.diskCreatedAt,
			kind == targetDraining && n.draining:
			chosen = n
		case kind == targetNewestInSync:
			chosen = n
		}
	}
	return chosen
}

// killAll kills all processes in one of killAllOdds cases. The disks survive.
func (a *adversary) killAll() {
	if !a.sim.oneIn(killAllOdds) {
		return
	}
	for _, n := range a.sim.nodes {
		if n.up {
			n.crash()
			a.sim.after(a.sim.draw(powerLossDelays), n.start)
		}
	}
}

// drainSome stops one or two processes as planned, which start again with their disks. A process may be killed while it drains.
func (a *adversary) drainSome() {
	count := 1 + a.sim.random.Intn(2)
	for _, position := range a.sim.random.Perm(len(a.sim.nodes)) {
		n := a.sim.nodes[position]
		if count == 0 || !n.up || n.draining {
			continue
		}
		count--
		a.drain(n)
		if a.sim.oneIn(killWhileDrainingOdds) {
			n.afterIfRunning(a.sim.draw(killWhileDrainingDelays), func() { a.restart(n) })
		}
	}
}

// restart kills a process, which starts again with its disk.
func (a *adversary) restart(n *node) {
	if n.up {
		n.crash()
		a.sim.after(a.sim.draw(restartDelays), n.start)
	}
}
