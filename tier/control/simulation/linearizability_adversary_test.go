package simulation

// planHistoryFaults schedules random cuts, freezes and restarts of members.
func (s *sim) planHistoryFaults(fault protocolFault) {
	for at := int64(1200); at < lastCallAt; at += 900 + s.random.Int63n(1800) {
		s.after(at, func() {
			victim := s.randomMember()
			if s.random.Intn(2) == 0 {
				victim = s.primaryOr(victim)
			}
			switch s.random.Intn(4) {
			case 0:
				s.cutOff(victim)
				s.after(500+s.random.Int63n(2500), s.heal)
			case 1:
				s.freeze(s.members[victim], 200+s.random.Int63n(3000))
			case 2:
				s.restartUnlessFrozen(victim, fault)
			default:
				for _, m := range s.members {
					s.restartUnlessFrozen(m.process, fault)
				}
			}
		})
	}
}

func (s *sim) restartUnlessFrozen(p process, fault protocolFault) {
	m := s.members[p]
	if m.frozen {
		return
	}
	if fault == losesWrites {
		m.disk.entries = m.disk.entries[:max(0, len(m.disk.entries)-3)]
	}
	m.restart()
}

// protocolFault is a defect that a test injects to show that the linearizability check finds it.
type protocolFault int

const (
	noFault protocolFault = iota
	readsWithoutCommit
	answersBeforeCommit
	rejectsUncertainChanges
	forgetsAnswers
	losesWrites
	ignoresBase
)
