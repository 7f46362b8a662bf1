package programs

// program is the state of one agent program.
type program struct {
	charged      uint64                 // tokens of turns that were settled or abandoned
	reserved     map[string]reservation // of turns that have not ended, by request
	settled      []settledTurn          // the newest ones
	watermarks   map[uint64]watermark   // by gateway, of the settled turns before these
	turns        map[string]turn        // retained, by request
	sessionHosts map[string]string      // the last host, by session
	lastUsed     int64                  // by the time that commands carry
}

func newProgram() *program {
	return &program{
		reserved: map[string]reservation{}, watermarks: map[uint64]watermark{}, turns: map[string]turn{}, sessionHosts: map[string]string{},
	}
}

// total is what counts against the budget: settled tokens and reserved ones.
func (p *program) total() uint64 {
	total := p.charged
	for _, each := range p.reserved {
		total += each.estimate
	}
	return total
}
