package faultsim

// A fault is a number drawn below faultDraws: below the first of these bounds disks are lost, and so on; from the last one on nothing
// happens.
const (
	loseDisksBelow      = 9
	killAllBelow        = 11
	drainSomeBelow      = 14
	replaceMachineBelow = 16
	faultDraws          = 20
)

// Chances, one in so many.
const (
	provokedFaultOdds     = 4 // a change of the group provokes a fault
	killAllOdds           = 4 // all processes are killed when it is their turn
	killWhileDrainingOdds = 4 // a process is killed while it drains
)

var (
	provokedFaultDelays     = delays{0, 60} // from a change of the group until the fault that it provokes
	diskReplacementDelays   = delays{100, 1500}
	powerLossDelays         = delays{50, 900}
	killWhileDrainingDelays = delays{0, 400}
)

// targetKind is which replica the adversary picks.
type targetKind int

const (
	targetPrimary targetKind = iota
	targetOldestDisk
	targetNewestInSync // the one admitted last
	targetDraining
	targetAnyInSync
	targetKinds
)

// adversary injects faults again and again, at times of its own and right after the group has changed. It never takes more disks
// at once than are tolerated. A loss is over when the group has noticed it and has acknowledged something since: by that the group
// says that it survives the next one.
type adversary struct {
	sim              *simulation
	toleratedLosses  int
	maxInterval      int64 // most milliseconds between faults
	inSync           func() []uint64
	primary          func() uint64
	survivableLosses func() int // that a fully replicated group of its present size survives
	onDiskLost       func()
	drain            func(*node) // a process is stopped as planned
	replaceMachine   func()      // a machine is replaced as planned

	openLosses map[uint64]loss // by the identity that was lost
	disksLost  int
}

// loss is a lost disk that is not over.
type loss struct {
	noticed bool
	after   uint32 // the newest command when it was noticed
}

// injectFault injects one fault and schedules the next.
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

// onGroupChange is called after each change of the group, and may take disks right then.
func (a *adversary) onGroupChange() {
	if a.sim.oneIn(provokedFaultOdds) {
		a.sim.after(a.sim.draw(provokedFaultDelays), func() {
			if !a.sim.quiesced {
				a.loseDisks()
			}
		})
	}
}

// mayLoseDisk reports whether another loss is within what is tolerated.
func (a *adversary) mayLoseDisk() bool {
	counted := map[uint64]bool{}
	for _, id := range a.inSync() {
		counted[id] = true
	}
	for id := range counted {
		if _, known := a.openLosses[id]; !known && a.sim.find(id) == nil {
			a.openLosses[id] = loss{} // it went for good just before it was admitted
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

// loseDisks takes disks away, one at least.
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

// target picks an in-sync replica.
func (a *adversary) target(what targetKind) *node {
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
		case what == targetPrimary && n.identity == a.primary(),
			what == targetOldestDisk && n.diskCreatedAt < chosen.diskCreatedAt,
			what == targetDraining && n.draining:
			chosen = n
		case what == targetNewestInSync:
			chosen = n
		}
	}
	return chosen
}

// killAll kills all processes; the disks stay.
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

// drainSome stops one process or two as planned; they come back with their disks. A kill may come in the middle.
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

// restart ends a process that starts again with its disk.
func (a *adversary) restart(n *node) {
	if n.up {
		n.crash()
		a.sim.after(a.sim.draw(restartDelays), n.start)
	}
}
