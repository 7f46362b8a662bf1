package simulation

// cutOff cuts a member off in one of the ways.
func (s *network) cutOff(victim place) {
	way := s.random.Intn(5)
	var others []place
	for _, m := range s.members {
		if m.place != victim {
			others = append(others, m.place)
		}
	}
	switch {
	case way == 4: // from one other member alone
		others = others[:1]
	case len(others) == 4 && s.random.Intn(2) == 0: // with a companion
		s.cutOffPair(victim, others[0], others[1:])
		return
	}
	for _, other := range others {
		if way != 1 {
			s.cutLink(victim, other)
		}
		if way != 2 {
			s.cutLink(other, victim)
		}
	}
	if way == 3 { // near: from all other zones too
		for _, p := range s.callers() {
			if zoneOf(p) != zoneOf(victim) {
				s.cutLink(victim, p)
				s.cutLink(p, victim)
			}
		}
	}
}

// cutOffPair cuts two members off that stay connected with each other.
func (s *network) cutOffPair(first, second place, others []place) {
	for _, other := range others {
		for _, p := range []place{first, second} {
			s.cutLink(p, other)
			s.cutLink(other, p)
		}
	}
}

// plan draws what happens to the network: a cut of up to 22 s, freezes before, in and after it.
func (s *network) plan() {
	begin := 4000 + s.random.Int63n(2000)
	span := 6000 + s.random.Int63n(16_000)
	victim := s.randomMember()
	choose := func() {
		if s.random.Intn(3) > 0 {
			victim = s.primaryOr(victim)
		}
	}
	frozenBefore := s.random.Intn(4) == 0 // so that it reads late what came before the cut
	if frozenBefore {
		s.at(begin-s.random.Int63n(400), func() {
			choose()
			s.freeze(s.members[victim], 500+s.random.Int63n(5000))
		})
	}
	s.at(begin, func() {
		if !frozenBefore {
			choose()
		}
		s.cutOff(victim)
	})
	if s.random.Intn(3) == 0 { // another one stands still while the successor opens its epoch
		s.at(begin+s.random.Int63n(700), func() { s.freeze(s.members[s.nextMember(victim)], 500+s.random.Int63n(2500)) })
	}
	s.at(begin+span, s.heal)
	for range s.random.Intn(4) {
		at := begin - 1000 + s.random.Int63n(span+1500)
		s.at(at, func() {
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
