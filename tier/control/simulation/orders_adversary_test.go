package simulation

// planOrderFaults cuts members off, has them stand still and restarts them.
func (s *network) planOrderFaults(fault linearFault) {
	for at := int64(1200); at < linearStops; at += 900 + s.random.Int63n(1800) {
		s.at(at, func() {
			victim := s.randomMember()
			if s.random.Intn(2) == 0 {
				victim = s.primaryOr(victim)
			}
			switch s.random.Intn(4) {
			case 0:
				s.cutOff(victim)
				s.at(500+s.random.Int63n(2500), s.heal)
			case 1:
				s.freeze(s.members[victim], 200+s.random.Int63n(3000))
			case 2:
				s.restartUnlessFrozen(victim, fault)
			default:
				for _, m := range s.members {
					s.restartUnlessFrozen(m.place, fault)
				}
			}
		})
	}
}

func (s *network) restartUnlessFrozen(p place, fault linearFault) {
	m := s.members[p]
	if m.frozen {
		return
	}
	if fault == losesWrites {
		m.disk.entries = m.disk.entries[:max(0, len(m.disk.entries)-3)]
	}
	m.restart()
}

// linearFault is something wrong that the histories must show.
type linearFault int

const (
	noLinearFault linearFault = iota
	readsWithoutCommit
	answersBeforeCommit
	refusesWhatIsUnclear
	forgetsAnswers
	losesWrites
	takesAnyBase
)
