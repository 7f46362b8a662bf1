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

// sendOne puts a message on its way, unless it gets lost. One that is on its way when a partition begins is lost too.
func (s *simulation) sendOne(from, to int, text string) {
	if s.random.Chance(s.Loss) || s.cut(from, to) {
		return
	}
	s.queue.ScheduleAfter(s.random.Exponential(s.MeanDelay), func() {
		m := s.members[to]
		if !m.alive || s.cut(from, to) {
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

// cut says whether a partition lies between two members.
func (s *simulation) cut(a, b int) bool {
	return s.partitioned && s.members[a].cutOff != s.members[b].cutOff
}

// takeToken says whether one more message may come in, at so many a second.
func (m *simulatedMember) takeToken(now, rate float64) bool {
	m.tokens = min(rate, m.tokens+rate*(now-m.refilledAt))
	m.refilledAt = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}
