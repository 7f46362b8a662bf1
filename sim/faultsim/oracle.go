package faultsim

// Outcome is what a simulation ended with.
type Outcome struct {
	Violation    string // empty if none was found
	Acknowledged int    // commands
	DisksLost    int
	// ProtectedAfter holds, for each lost disk after which the group came there before the next one, the milliseconds until it
	// survived the tolerated losses again, and FullAfter until it had all its replicas.
	ProtectedAfter []int64
	FullAfter      []int64
}

// noteProtected notes that the group survives the tolerated losses again.
func (o *Outcome) noteProtected(clock *recoveryClock, now int64) {
	clock.protected = true
	o.ProtectedAfter = append(o.ProtectedAfter, now-clock.since)
}

// noteFull notes that the group has all its replicas again, and stops the clock.
func (o *Outcome) noteFull(clock *recoveryClock, now int64) {
	o.FullAfter = append(o.FullAfter, now-clock.since)
	*clock = recoveryClock{}
}

// recoveryClock measures from a lost disk until the group has recovered.
type recoveryClock struct {
	since     int64 // 0: it doesn't run
	protected bool
}

// fail notes a violation. The first one stands.
func (s *simulation) fail(violation string) {
	if s.violation == "" {
		s.violation = violation
	}
}

// checkAcknowledged looks whether a primary holds everything that was acknowledged, once.
func (s *simulation) checkAcknowledged(primary *node) {
	held := map[uint32]bool{}
	for _, command := range primary.stateMachine.applied {
		if held[command] {
			s.fail("a command was applied twice")
		}
		held[command] = true
	}
	for _, command := range s.acknowledged {
		if !held[command] {
			s.fail("an acknowledged command is lost")
			return
		}
	}
}
