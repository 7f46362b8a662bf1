package faultsim

// aim is which replica the adversary strikes.
type aim int

const (
	aimPrimary aim = iota
	aimOldestDisk
	aimNewestInSync // the one taken in last
	aimLeaver
	aimAnyInSync
	aims
)

// adversary strikes again and again, at times of its own and right after the group has changed. It never takes more disks at once
// than are tolerated. A loss is over when the group has noticed it and has acknowledged something since: by that the group says
// that it bears the next one.
type adversary struct {
	play     *play
	tolerate int
	spaced   int64 // most milliseconds between harms
	inSync   func() []uint64
	primary  func() uint64
	bears    func() int  // losses that a group of its present size can bear, whole
	struck   func()      // a disk was taken away
	leave    func(*node) // a process is stopped as planned
	replace  func()      // a machine is replaced as planned

	open    map[uint64]loss // by the identity that was lost
	strikes int
}

// loss is a lost disk that is not over.
type loss struct {
	noticed bool
	after   uint32 // the newest command when it was noticed
}

// act does one harm and has the next one come.
func (a *adversary) act() {
	a.play.After(a.play.Between(0, a.spaced), a.act)
	if a.play.quiet {
		return
	}
	switch draw := a.play.Random.Intn(20); {
	case draw < 9:
		a.strike()
	case draw < 11:
		a.herd()
	case draw < 14:
		a.leaveAndReturn()
	case draw < 16:
		a.replace()
	}
}

const provokedWithin = 60 // milliseconds after a change of the group

// provoked is called after each change of the group, and may strike right then.
func (a *adversary) provoked() {
	if a.play.Chance(4) {
		a.play.After(a.play.Between(0, provokedWithin), func() {
			if !a.play.quiet {
				a.strike()
			}
		})
	}
}

// mayStrike tells whether another loss is within what is tolerated.
func (a *adversary) mayStrike() bool {
	counted := map[uint64]bool{}
	for _, id := range a.inSync() {
		counted[id] = true
	}
	for id := range counted {
		if _, known := a.open[id]; !known && a.play.find(id) == nil {
			a.open[id] = loss{} // it went for good just before it was taken in
		}
	}
	for id, lost := range a.open {
		switch {
		case !lost.noticed && !counted[id]:
			a.open[id] = loss{noticed: true, after: a.play.lastCommand}
		case lost.noticed && a.play.newestAcknowledged > lost.after:
			delete(a.open, id)
		}
	}
	return len(a.open) < min(a.tolerate, a.bears())
}

// strike takes a disk away.
func (a *adversary) strike() {
	for range 1 + a.play.Random.Intn(a.tolerate) {
		if !a.mayStrike() {
			return
		}
		target := a.target(aim(a.play.Random.Intn(int(aims))))
		if target == nil {
			return
		}
		a.open[target.identity] = loss{}
		target.wipe(a.play.Between(100, 1500))
		a.strikes++
		a.struck()
	}
}

// target picks an in-sync replica.
func (a *adversary) target(what aim) *node {
	var candidates []*node
	for _, id := range a.inSync() {
		_, lost := a.open[id]
		if n := a.play.find(id); n != nil && !lost {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	chosen := candidates[a.play.Random.Intn(len(candidates))]
	for _, n := range candidates {
		switch {
		case what == aimPrimary && n.identity == a.primary(),
			what == aimOldestDisk && n.born < chosen.born,
			what == aimLeaver && n.leaving:
			chosen = n
		case what == aimNewestInSync:
			chosen = n
		}
	}
	return chosen
}

// herd kills all processes; the disks stay.
func (a *adversary) herd() {
	if !a.play.Chance(4) {
		return
	}
	for _, n := range a.play.nodes {
		if n.up {
			n.crash()
			a.play.After(a.play.Between(50, 900), n.start)
		}
	}
}

// leaveAndReturn stops one process or two as planned; they come back with their disks. A kill may come in the middle.
func (a *adversary) leaveAndReturn() {
	count := 1 + a.play.Random.Intn(2)
	for _, position := range a.play.Random.Perm(len(a.play.nodes)) {
		n := a.play.nodes[position]
		if count == 0 || !n.up || n.leaving {
			continue
		}
		count--
		a.leave(n)
		if a.play.Chance(4) {
			n.later(a.play.Between(0, 400), func() { a.stop(n) })
		}
	}
}

// stop ends a process that starts again with its disk.
func (a *adversary) stop(n *node) {
	if n.up {
		n.crash()
		a.play.After(a.play.Between(100, 1200), n.start)
	}
}
