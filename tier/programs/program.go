package programs

// program is the state of one agent program.
type program struct {
	charged      uint64                 // tokens of turns that were settled or abandoned
	reserved     map[string]reservation // reservations of open turns, by request
	settled      []settledTurn          // the newest settled turns, in order of settlement
	watermarks   map[uint64]watermark   // by gateway, covers the settled turns that are no longer in settled
	turns        map[string]turn        // retained turns, by request
	sessionHosts map[string]string      // the last host of each session
	lastUsed     int64                  // the highest time of a command for the program
}

func newProgram() *program {
	return &program{
		reserved: map[string]reservation{}, watermarks: map[uint64]watermark{}, turns: map[string]turn{}, sessionHosts: map[string]string{},
	}
}

// total returns the tokens that count against the budget: charged and reserved ones.
func (p *program) total() uint64 {
	total := p.charged
	for _, each := range p.reserved {
		total += each.estimate
	}
	return total
}
