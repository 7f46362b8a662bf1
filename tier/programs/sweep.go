package programs

const (
	// idleProgramTTL is how long a program's count stays after its last turn, in milliseconds: longer than any program rests.
	idleProgramTTL = 15 * 60 * 1000
	// sweepInterval is how many commands pass between two sweeps.
	sweepInterval = 512
)

// sweep charges reservations that were abandoned, and drops turns that are no longer retained and programs that have rested for
// long and retain no turn.
func (s *State) sweep(now int64) {
	for name, p := range s.programs {
		p.chargeAbandoned(now)
		for id, each := range p.turns {
			if now > each.expiresAt {
				delete(p.turns, id)
				delete(s.programOfTurn, id)
			}
		}
		if len(p.turns) == 0 && now-p.lastUsed > idleProgramTTL {
			delete(s.programs, name)
		}
	}
}
