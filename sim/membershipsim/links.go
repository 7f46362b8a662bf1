package membershipsim

import "otterseam/gateway/membership"

func (s *simulation) send(from int, messages []membership.Message) {
	for _, message := range messages {
		if message.To != membership.Broadcast {
			s.sendOne(from, message.To, message.Text)
			continue
		}
		for to := range s.members {
			if to != from {
				s.sendOne(from, to, message.Text)
			}
		}
	}
}

// sendOne sends a message, unless it is lost. A message in transit when a partition begins is lost too.
func (s *simulation) sendOne(from, to int, text string) {
	if s.random.Chance(s.Loss) || s.separated(from, to) {
		return
	}
	s.queue.ScheduleAfter(s.random.Exponential(s.MeanDelay), func() {
		m := s.members[to]
		if !m.alive || s.separated(from, to) {
			return
		}
		if !m.takeToken(s.queue.Now(), s.MessageRate) {
			s.measured.dropped++
			return
		}
		s.measured.arrived++
		s.measured.bytes += float64(len(text))
		m.whenRunning(m.life, func() {
			now := s.queue.Now()
			m.detector.Receive(now, from, text)
			s.send(to, m.detector.Tick(now))
			s.observe(to)
		})
	})
}

// separated reports whether a partition separates two members.
func (s *simulation) separated(a, b int) bool {
	return s.partitioned && s.members[a].cutOff != s.members[b].cutOff
}

// takeToken reports whether the member may receive one more message at a limit of rate messages a second.
func (m *simulatedMember) takeToken(now, rate float64) bool {
	m.tokens = min(rate, m.tokens+rate*(now-m.refilledAt))
	m.refilledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}
