package quotastoresim

// The kinds of faults, which are equally likely.
const (
	faultRestart = iota
	faultMachineLost
	faultFreeze
	faultCut
	faultCutAgain // makes cuts twice as likely
	faultIsolated
	faultSlowDisk
	faultKinds
)

// Durations of faults and intervals between them, in seconds.
const (
	minFaultGap, maxFaultGap = 0.1, 1.2
	minDown, maxDown         = 0.05, 3.0
	maxMachineDown           = 4.0
	minCut, maxCut           = 0.2, 3.0
	minSlow, maxSlow         = 0.5, 3.0
	freezeShape, freezeScale = 1.2, 0.15 // of a Pareto distribution
	cutBothWaysChance        = 0.5
)

// injectFault injects a random fault at a random server and schedules the next one.
func (s *simulation) injectFault() {
	if s.faultsOver {
		return
	}
	s.queue.ScheduleAfter(s.random.Uniform(minFaultGap, maxFaultGap), s.injectFault)
	srv := s.servers[s.random.IntN(len(s.servers))]
	s.verdict.Faults++
	switch s.random.IntN(faultKinds) {
	case faultRestart:
		s.restart(srv)
	case faultMachineLost:
		s.loseMachines(srv)
	case faultFreeze:
		s.freeze(srv)
	case faultCut, faultCutAgain:
		other := s.servers[s.random.IntN(len(s.servers))]
		s.cut(srv, other, s.random.Uniform(minCut, maxCut))
		if s.random.Chance(cutBothWaysChance) {
			s.cut(other, srv, s.random.Uniform(minCut, maxCut))
		}
	case faultIsolated:
		for _, other := range s.servers {
			s.cut(srv, other, s.random.Uniform(minCut, maxCut))
			s.cut(other, srv, s.random.Uniform(minCut, maxCut))
		}
	case faultSlowDisk:
		srv.writeTime = slowDisk
		s.queue.ScheduleAfter(s.random.Uniform(minSlow, maxSlow), func() { srv.writeTime = fastDisk })
	}
}

// restart ends a process and starts a new one after a while. Without a disk the restart loses all state, which is the loss of a
// machine.
func (s *simulation) restart(srv *server) {
	if !s.options.Durable {
		s.loseMachines(srv)
		return
	}
	s.stop(srv)
	s.startAfter(srv, s.random.Uniform(minDown, maxDown))
}

func (s *simulation) startAfter(srv *server, seconds float64) {
	process := srv.process
	s.queue.ScheduleAfter(seconds, func() {
		if srv.process == process && !srv.up {
			s.start(srv)
		}
	})
}

// freeze suspends a process for a random time.
func (s *simulation) freeze(srv *server) {
	if srv.frozen || !srv.up {
		return
	}
	srv.frozen = true
	process := srv.process
	s.queue.ScheduleAfter(s.random.Pareto(freezeShape)*freezeScale, func() {
		if srv.process == process && srv.frozen {
			srv.frozen = false
			s.runBacklog(srv)
		}
	})
}

// loseMachines loses a random number of machines with their disks, within what the guarantees cover. It loses none unless all groups
// are fully replicated.
func (s *simulation) loseMachines(first *server) {
	if !s.fullyReplicated() {
		return
	}
	count := 1 + s.random.IntN(s.maxMachinesLost())
	for i := range count {
		srv := s.servers[(first.number+i)%len(s.servers)]
		s.verdict.MachinesLost++
		s.stop(srv)
		srv.frozen = false
		s.wipe(srv)
		s.startAfter(srv, s.random.Uniform(minDown, maxMachineDown))
	}
}

// maxMachinesLost returns how many machines may be lost with their disks at once, which is a minority of a group.
func (s *simulation) maxMachinesLost() int { return (s.options.Replicas - 1) / 2 }

// endFaults ends all faults and starts the processes that are down.
func (s *simulation) endFaults() {
	s.faultsOver = true
	clear(s.network.cuts)
	for _, srv := range s.servers {
		srv.writeTime = fastDisk
		if srv.frozen {
			srv.frozen = false
			s.runBacklog(srv)
		}
		if !srv.up {
			s.start(srv)
		}
	}
}
