package membershipsim

import (
	"math"
	"slices"

	"otterseam/gateway/membership"
)

const (
	// startUp is the initial period in which reported states are not measured.
	startUp = 8
	// newlyStarted is how long after its start a member may still be reported dead. healingAllowed is the same for all members after a
	// partition.
	newlyStarted   = 5
	healingAllowed = 5
	// returnLimit is the time after a restart within which its detection is measured.
	returnLimit = 60
	// detectLimit is the time within which a death should be detected.
	detectLimit = 10
	// shareInterval is the interval between measurements of the shares.
	shareInterval = 0.1
)

// measurements accumulates the results while a scenario runs.
type measurements struct {
	deaths           int
	detections       []float64 // times from a death until another member reported it
	returns          []float64 // times from a restart until another member reported it
	falseDeaths      float64
	falseAccusations float64
	arrived          float64 // messages
	dropped          float64
	bytes            float64
	maxShares        float64
	massDetect90     float64
}

// observe measures the changes in the states that a member's detector reports.
func (s *simulation) observe(i int) {
	observer, now := s.members[i], s.queue.Now()
	if observer.detector.Changes == observer.seenChanges {
		return
	}
	observer.seenChanges = observer.detector.Changes
	for k := range s.members {
		dead := observer.detector.StateOf(now, k) == membership.Dead
		if dead == observer.reportedDead[k] {
			continue
		}
		observer.reportedDead[k] = dead
		switch {
		case now < epoch+startUp:
		case dead:
			s.observeDeath(i, k)
		default:
			s.observeReturn(k)
		}
	}
}

func (s *simulation) observeDeath(i, k int) {
	observer, m, now := s.members[i], s.members[k], s.queue.Now()
	switch {
	case !m.alive && observer.startedAt > m.diedAt: // the observer started after the death
	case !m.alive:
		s.measured.detections = append(s.measured.detections, now-m.diedAt)
	case !s.disturbed() && now-m.startedAt > newlyStarted:
		s.measured.falseDeaths++
		if !s.reportedDeadByOthers(i, k) {
			s.measured.falseAccusations++
		}
	}
}

func (s *simulation) observeReturn(k int) {
	m, now := s.members[k], s.queue.Now()
	if m.alive && now-m.startedAt < returnLimit && m.life > 1 {
		s.measured.returns = append(s.measured.returns, now-m.startedAt)
	}
}

// disturbed reports whether false deaths are to be ignored because of a partition. That is the case from the start of the simulation
// until shortly after the partition has healed.
func (s *simulation) disturbed() bool {
	return s.partitioned || s.PartitionEnds != 0 && s.queue.Now() <= epoch+s.PartitionEnds+healingAllowed
}

func (s *simulation) reportedDeadByOthers(i, k int) bool {
	for j, m := range s.members {
		if j != i && m.alive && m.reportedDead[k] {
			return true
		}
	}
	return false
}

// measureShares measures the current sum of all members' shares and how many members have detected the mass death.
func (s *simulation) measureShares() {
	now := s.queue.Now()
	shares := 0.0
	for _, m := range s.members {
		if m.alive {
			shares += 1 / m.detector.ShareDivisor(now, 0, s.Members)
		}
	}
	s.measured.maxShares = max(s.measured.maxShares, shares)
	if len(s.massDead) > 0 && math.IsNaN(s.measured.massDetect90) && s.massDetectionShare() >= 0.9 {
		s.measured.massDetect90 = now - epoch - s.MassDeathAt
	}
	s.queue.ScheduleAfter(shareInterval, s.measureShares)
}

// massDetectionShare returns the fraction of correct states that members in their first life report about the members that died at once.
func (s *simulation) massDetectionShare() float64 {
	right, all := 0.0, 0.0
	for _, m := range s.members {
		if !m.alive || m.life != 1 {
			continue
		}
		for _, k := range s.massDead {
			if s.members[k].alive {
				continue
			}
			all++
			if m.reportedDead[k] {
				right++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return right / all
}

func (s *simulation) wrongStates() (n int) {
	now := s.queue.Now()
	for i, observer := range s.members {
		if !observer.alive {
			continue
		}
		for k, m := range s.members {
			if i != k && (observer.detector.StateOf(now, k) == membership.Dead) == m.alive {
				n++
			}
		}
	}
	return n
}

// detectedShare returns Result.DetectedShare. It is measured only if members die one by one.
func (s *simulation) detectedShare() float64 {
	if s.measured.deaths == 0 || s.MassDeathAt != 0 {
		return 0
	}
	inTime := 0.0
	for _, took := range s.measured.detections {
		if took < detectLimit {
			inTime++
		}
	}
	return inTime / float64(s.measured.deaths) / float64(max(1, s.Members-1))
}

func (s *simulation) result() *Result {
	m := &s.measured
	hours, members := s.Duration/3600, float64(s.Members)
	return &Result{
		Scenario:          s.Scenario,
		Deaths:            m.deaths,
		DetectP50:         quantile(m.detections, 0.5),
		DetectP99:         quantile(m.detections, 0.99),
		DetectedShare:     s.detectedShare(),
		ReturnP50:         quantile(m.returns, 0.5),
		ReturnP99:         quantile(m.returns, 0.99),
		FalseDeaths:       m.falseDeaths / hours,
		FalseAccusations:  m.falseAccusations / hours,
		MessagesPerSecond: m.arrived / s.Duration / members,
		BytesPerSecond:    m.bytes / s.Duration / members,
		DroppedShare:      m.dropped / max(1, m.dropped+m.arrived),
		WrongBeliefs:      s.wrongStates(),
		MaxShares:         m.maxShares,
		MassDetect90:      Quantile(m.massDetect90),
	}
}

// quantile sorts the values and returns their quantile q, or NaN if there are none.
func quantile(values []float64, q float64) Quantile {
	if len(values) == 0 {
		return Quantile(math.NaN())
	}
	slices.Sort(values)
	return Quantile(values[min(len(values)-1, int(q*float64(len(values))))])
}
