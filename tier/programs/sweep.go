package programs

const (
	// idleProgramTTL is the time in milliseconds for which a program's token count is kept after its last turn. It is longer than any
	// program pauses between two turns.
	idleProgramTTL = 15 * 60 * 1000
	// sweepInterval is the number of commands from one sweep to the next.
	sweepInterval = 512
)

// sweep charges abandoned reservations, deletes expired turns, and deletes programs that have been idle for more than idleProgramTTL
// and have no retained turn.
func (s *State) sweep(now int64) {
	for name, p := range s.programs {
		p.chargeAbandoned(now)
		for id, each := range p.turns {
			if now > each.expiresAt {
				s.removeTurn(p, id)
				delete(s.programOfTurn, id)
			}
		}
		if len(p.turns) == 0 && now-p.lastUsed > idleProgramTTL {
			delete(s.programs, name)
			s.addPrograms(-1)
		}
	}
}
