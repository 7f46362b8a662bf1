package faultsim

// Outcome is the result of a simulation.
type Outcome struct {
	Violation    string // the first one found, empty if none
	Acknowledged int    // number of acknowledged commands
	DisksLost    int
	// ProtectedAfter holds the milliseconds from the loss of a disk until the group could survive the tolerated losses again, and
	// FullAfter those until it had all its replicas. A loss has no entry if another disk was lost before that.
	ProtectedAfter []int64
	FullAfter      []int64
}

// noteProtected records that the group can survive the tolerated losses again.
func (o *Outcome) noteProtected(clock *recoveryClock, now int64) {
	clock.protected = true
	o.ProtectedAfter = append(o.ProtectedAfter, now-clock.since)
}

// noteFull records that the group has all its replicas again, and stops the clock.
func (o *Outcome) noteFull(clock *recoveryClock, now int64) {
	o.FullAfter = append(o.FullAfter, now-clock.since)
	*clock = recoveryClock{}
}

// recoveryClock measures the time from the loss of a disk until the group has recovered.
type recoveryClock struct {
	since     int64 // 0 if the clock is stopped
	protected bool
}

// fail records a violation. Only the first one is kept.
func (s *simulation) fail(violation string) {
	if s.violation == "" {
		s.violation = violation
	}
}

// checkAcknowledged checks that a primary has applied all acknowledged commands, and no command twice.
func (s *simulation) checkAcknowledged(primary *node) {
	seen := map[uint32]bool{}
	for _, command := range primary.stateMachine.applied {
		if seen[command] {
			s.fail("a command was applied twice")
		}
		seen[command] = true
	}
	for _, command := range s.acknowledged {
		if !seen[command] {
			s.fail("an acknowledged command is lost")
			return
		}
	}
}
