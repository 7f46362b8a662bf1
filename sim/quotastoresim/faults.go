package quotastoresim

// The sorts of faults, which are drawn alike.
const (
	faultRestart = iota
	faultMachineLost
	faultFreeze
	faultCut
	faultCutToo // cuts come twice as often
	faultIsolated
	faultSlowDisk
	faultKinds
)

// How long faults last and how far they are apart, in seconds.
const (
	minFaultGap, maxFaultGap = 0.1, 1.2
	minDown, maxDown         = 0.05, 3.0
	maxMachineDown           = 4.0
	minCut, maxCut           = 0.2, 3.0
	minSlow, maxSlow         = 0.5, 3.0
	freezeShape, freezeScale = 1.2, 0.15 // of a Pareto distribution
	cutBothWays              = 0.5       // chance
)

// injectFault injects a random fault at a random server, and the next one after a while.
func (s *simulation) injectFault() {
	if s.faultsOver {
		return
	}
	s.queue.ScheduleAfter(s.random.Uniform(minFaultGap, maxFaultGap), s.injectFault)
	x := s.servers[s.random.IntN(len(s.servers))]
	s.verdict.Faults++
	switch s.random.IntN(faultKinds) {
	case faultRestart:
		s.restart(x)
	case faultMachineLost:
		s.loseMachines(x)
	case faultFreeze:
		s.freeze(x)
	case faultCut, faultCutToo:
		y := s.servers[s.random.IntN(len(s.servers))]
		s.cut(x, y, s.random.Uniform(minCut, maxCut))
		if s.random.Chance(cutBothWays) {
			s.cut(y, x, s.random.Uniform(minCut, maxCut))
		}
	case faultIsolated:
		for _, y := range s.servers {
			s.cut(x, y, s.random.Uniform(minCut, maxCut))
			s.cut(y, x, s.random.Uniform(minCut, maxCut))
		}
	case faultSlowDisk:
		x.writeTime = slowDisk
		s.queue.ScheduleAfter(s.random.Uniform(minSlow, maxSlow), func() { x.writeTime = fastDisk })
	}
}

// restart ends a process and starts another one. Without a disk all that it had is lost.
func (s *simulation) restart(x *server) {
	if !s.options.Durable {
		s.loseMachines(x)
		return
	}
	s.stop(x)
	s.startAfter(x, s.random.Uniform(minDown, maxDown))
}

func (s *simulation) startAfter(x *server, seconds float64) {
	process := x.process
	s.queue.ScheduleAfter(seconds, func() {
		if x.process == process && !x.up {
			s.start(x)
		}
	})
}

// freeze has a process stand still.
func (s *simulation) freeze(x *server) {
	if x.frozen || !x.up {
		return
	}
	x.frozen = true
	process := x.process
	s.queue.ScheduleAfter(s.random.Pareto(freezeShape)*freezeScale, func() {
		if x.process == process && x.frozen {
			x.frozen = false
			s.resume(x)
		}
	})
}

// loseMachines takes machines with their disks, as many as the guarantees cover.
func (s *simulation) loseMachines(first *server) {
	if !s.fullyReplicated() {
		return
	}
	count := 1 + s.random.IntN(s.maxMachinesLost())
	for i := range count {
		x := s.servers[(first.number+i)%len(s.servers)]
		s.verdict.MachinesLost++
		s.stop(x)
		x.frozen = false
		s.wipe(x)
		s.startAfter(x, s.random.Uniform(minDown, maxMachineDown))
	}
}

// maxMachinesLost is how many machines may be lost with their disks at once: a minority of a group.
func (s *simulation) maxMachinesLost() int { return (s.options.Replicas - 1) / 2 }

// endFaults ends all faults, and starts what is down.
func (s *simulation) endFaults() {
	s.faultsOver = true
	clear(s.network.cuts)
	for _, x := range s.servers {
		x.writeTime = fastDisk
		if x.frozen {
			x.frozen = false
			s.resume(x)
		}
		if !x.up {
			s.start(x)
		}
	}
}
