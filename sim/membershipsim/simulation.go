package membershipsim

import (
	"math"

	"otterseam/gateway/membership"
	"otterseam/sim/eventqueue"
	"otterseam/sim/randstream"
)

const (
	// epoch is the clock time at the beginning. Members start within startSpread after it, and no deaths are scheduled at intervals
	// before settledAfter.
	epoch        = 1000.0
	startSpread  = 0.5
	settledAfter = 10.0
	// lastDeathMargin is the time before the end in which no more deaths are scheduled.
	lastDeathMargin = 15
	// maxTick is the longest time between ticks of a member.
	maxTick = 0.25
	// starvedRun and starvedStall are how long a starved member alternately runs and stalls. Its first stall begins within a second
	// after starvedFrom.
	starvedRun   = 0.1
	starvedStall = 0.9
	starvedFrom  = 2.0
	// seedStride separates the seeds of successive lives.
	seedStride = 7919
)

// simulatedMember is a member with its actual state.
type simulatedMember struct {
	detector  *membership.Detector
	alive     bool
	life      int // 1 is the first
	cutOff    bool
	startedAt float64
	diedAt    float64

	stalled bool
	held    []func() // events to handle after the stall

	tokens     float64 // messages that the member may still receive, as of refilledAt
	refilledAt float64

	seenChanges  int
	reportedDead []bool // by member
}

type simulation struct {
	Scenario
	queue       *eventqueue.Queue
	random      randstream.Stream
	members     []*simulatedMember
	lives       int
	partitioned bool
	massDead    []int
	measured    measurements
}

// Run simulates a scenario.
func Run(scenario Scenario) *Result {
	s := &simulation{
		Scenario: scenario,
		queue:    &eventqueue.Queue{},
		random:   randstream.New(scenario.Seed, "muster"), // the name determines the random numbers, so it must not change
		measured: measurements{massDetect90: math.NaN()},
	}
	s.scheduleStarts()
	s.scheduleDeaths()
	s.scheduleMassDeath()
	s.schedulePartition()
	s.queue.Schedule(epoch+settledAfter, s.measureShares)
	s.queue.Run(epoch + s.Duration)
	return s.result()
}

func (s *simulation) scheduleStarts() {
	starved := randstream.New(s.Seed, "starved").SampleShare(s.Members, s.StarvedShare)
	cutOff := randstream.New(s.Seed, "cut").SampleShare(s.Members, s.PartitionShare)
	for i := range s.Members {
		m := &simulatedMember{cutOff: s.PartitionAt > 0 && cutOff[i], reportedDead: make([]bool, s.Members)}
		s.members = append(s.members, m)
		s.queue.Schedule(epoch+s.random.Uniform(0, startSpread), func() { s.start(i) })
		if s.StarvedShare > 0 && starved[i] {
			s.starve(m)
		}
	}
}

func (s *simulation) scheduleDeaths() {
	if s.DeathInterval <= 0 {
		return
	}
	for at := epoch + settledAfter; at < epoch+s.Duration-lastDeathMargin; at += s.DeathInterval {
		s.queue.Schedule(at, func() {
			if k := s.random.IntN(s.Members); s.members[k].alive {
				s.kill(k)
			}
		})
	}
}

func (s *simulation) scheduleMassDeath() {
	if s.MassDeathAt <= 0 {
		return
	}
	s.queue.Schedule(epoch+s.MassDeathAt, func() {
		for k, dies := range randstream.New(s.Seed, "mass").SampleShare(s.Members, s.MassDeathShare) {
			if dies && s.members[k].alive {
				s.massDead = append(s.massDead, k)
				s.kill(k)
			}
		}
	})
}

func (s *simulation) schedulePartition() {
	if s.PartitionAt <= 0 {
		return
	}
	s.queue.Schedule(epoch+s.PartitionAt, func() { s.partitioned = true })
	s.queue.Schedule(epoch+s.PartitionEnds, func() { s.partitioned = false })
}

// start begins a life of a member, without state of the previous one.
func (s *simulation) start(i int) {
	m := s.members[i]
	s.lives++
	m.alive = true
	m.life++
	m.startedAt = s.queue.Now()
	m.detector = membership.New(membership.Config{
		Self: i, Members: s.Members, MessageRate: s.MessageRate, Part: s.MembershipShare,
		Seed: s.Seed + uint64(s.lives)*seedStride,
	})
	m.reportedDead = make([]bool, s.Members)
	m.seenChanges = 0
	s.tick(i, m.life)
}

func (s *simulation) kill(k int) {
	m := s.members[k]
	m.alive = false
	m.diedAt = s.queue.Now()
	m.held = nil
	s.measured.deaths++
	if s.Downtime > 0 {
		s.queue.ScheduleAfter(s.Downtime, func() { s.start(k) })
	}
}

// whenRunning calls a function when the member is not stalled, if it is still in the given life then.
func (m *simulatedMember) whenRunning(life int, action func()) {
	if m.stalled {
		m.held = append(m.held, func() { m.inLife(life, action) })
		return
	}
	m.inLife(life, action)
}

func (m *simulatedMember) inLife(life int, action func()) {
	if m.alive && m.life == life {
		action()
	}
}

func (s *simulation) tick(i, life int) {
	m := s.members[i]
	if !m.alive || m.life != life {
		return
	}
	m.whenRunning(life, func() {
		now := s.queue.Now()
		s.send(i, m.detector.Tick(now))
		s.observe(i)
		s.queue.ScheduleAfter(min(maxTick, m.detector.Wait(now)), func() { s.tick(i, life) })
	})
}

// starve makes a member alternately run and stall.
func (s *simulation) starve(m *simulatedMember) {
	var stall, run func()
	stall = func() {
		m.stalled = true
		s.queue.ScheduleAfter(starvedStall, run)
	}
	run = func() {
		m.stalled = false
		held := m.held
		m.held = nil
		for _, action := range held {
			action()
		}
		s.queue.ScheduleAfter(starvedRun, stall)
	}
	s.queue.ScheduleAfter(starvedRun*s.random.Float64(), func() {
		s.queue.Schedule(epoch+starvedFrom+s.random.Float64(), stall)
	})
}
