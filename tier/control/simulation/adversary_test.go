package simulation

// cutOff cuts links of a member, in a mode that is chosen at random.
func (s *sim) cutOff(victim process) {
	mode := s.random.Intn(5)
	var others []process
	for _, m := range s.members {
		if m.process != victim {
			others = append(others, m.process)
		}
	}
	switch {
	case mode == 4: // cut off from one other member only
		others = others[:1]
	case len(others) == 4 && s.random.Intn(2) == 0: // cut off together with another member
		s.cutOffPair(victim, others[0], others[1:])
		return
	}
	for _, other := range others {
		if mode != 1 {
			s.cutLink(victim, other)
		}
		if mode != 2 {
			s.cutLink(other, victim)
		}
	}
	if mode == 3 { // also cut off from the callers in all other zones
		for _, p := range s.callers() {
			if zoneOf(p) != zoneOf(victim) {
				s.cutLink(victim, p)
				s.cutLink(p, victim)
			}
		}
	}
}

// cutOffPair cuts two members off from the others. The two stay connected with each other.
func (s *sim) cutOffPair(first, second process, others []process) {
	for _, other := range others {
		for _, p := range []process{first, second} {
			s.cutLink(p, other)
			s.cutLink(other, p)
		}
	}
}

// planFaults schedules random faults: a cut of up to 22 s, and freezes before, during and after it.
func (s *sim) planFaults() {
	begin := 4000 + s.random.Int63n(2000)
	duration := 6000 + s.random.Int63n(16_000)
	victim := s.randomMember()
	chooseVictim := func() {
		if s.random.Intn(3) > 0 {
			victim = s.primaryOr(victim)
		}
	}
	frozenBefore := s.random.Intn(4) == 0 // it then processes messages from before the cut late
	if frozenBefore {
		s.after(begin-s.random.Int63n(400), func() {
			chooseVictim()
			s.freeze(s.members[victim], 500+s.random.Int63n(5000))
		})
	}
	s.after(begin, func() {
		if !frozenBefore {
			chooseVictim()
		}
		s.cutOff(victim)
	})
	if s.random.Intn(3) == 0 { // freeze another member while the successor opens its epoch
		s.after(begin+s.random.Int63n(700), func() { s.freeze(s.members[s.nextMember(victim)], 500+s.random.Int63n(2500)) })
	}
	s.after(begin+duration, s.heal)
	for range s.random.Intn(4) {
		at := begin - 1000 + s.random.Int63n(duration+1500)
		s.after(at, func() {
			victim := s.randomMember()
			if s.random.Intn(2) == 0 {
				victim = s.primaryOr(victim)
			}
			length := 500 + s.random.Int63n(2500)
			if s.random.Intn(3) == 0 {
				length = 500 + s.random.Int63n(9500)
			}
			length = min(length, runLength-7000-s.now)
			s.freeze(s.members[victim], max(length, 1))
		})
	}
}
