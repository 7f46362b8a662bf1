package programs

import "sync/atomic"

// turnOverhead is the estimated memory use of a retained turn in addition to its texts, in bytes.
const turnOverhead = 512

// Usage is the memory that the states of a process's shards take. One Usage may be shared by many states. It is safe for concurrent
// use.
type Usage struct {
	retainedBytes atomic.Int64
	programs      atomic.Int64
}

// RetainedBytes returns the memory of all retained turns, in bytes.
func (u *Usage) RetainedBytes() int64 { return u.retainedBytes.Load() }

// Programs returns the number of programs.
func (u *Usage) Programs() int64 { return u.programs.Load() }

// size returns the estimated memory use of the turn, in bytes.
func (t turn) size() int64 { return int64(len(t.input)+len(t.output)) + turnOverhead }

// setTurn stores a turn of a program.
func (s *State) setTurn(p *program, id string, t turn) {
	s.removeTurn(p, id)
	p.turns[id] = t
	s.addRetained(t.size())
}

// removeTurn deletes a turn of a program if it exists.
func (s *State) removeTurn(p *program, id string) {
	if old, found := p.turns[id]; found {
		delete(p.turns, id)
		s.addRetained(-old.size())
	}
}

func (s *State) addRetained(bytes int64) {
	s.retainedBytes += bytes
	s.usage.retainedBytes.Add(bytes)
}

func (s *State) addPrograms(count int64) { s.usage.programs.Add(count) }

// countUsage adds all programs and turns of a state, none of which has been counted, to its Usage.
func (s *State) countUsage() {
	s.addPrograms(int64(len(s.programs)))
	for _, p := range s.programs {
		for _, each := range p.turns {
			s.addRetained(each.size())
		}
	}
}

// Discard removes the state from its Usage. The state must not be used afterwards.
func (s *State) Discard() {
	s.addRetained(-s.retainedBytes)
	s.addPrograms(-int64(len(s.programs)))
	s.programs = map[string]*program{}
}

// HasProgram reports whether the state has a program of that name.
func (s *State) HasProgram(name string) bool { return s.programs[name] != nil }

// endMargin is added to the time of a turn, in milliseconds, for the way between gateway and store.
const endMargin = 1000

// CopiedChainBytes returns the size of the texts with which a turn may be stored besides its own: those of the chain that it continues, if
// the turn may outlive it. It is 0 if the chain is not retained.
func (s *State) CopiedChainBytes(b Begin) int64 {
	p := s.programs[b.Program]
	if p == nil || b.Previous == "" {
		return 0
	}
	total := int64(0)
	outlives := false
	for _, each := range p.lineage(b.Previous) {
		total += int64(len(each.input) + len(each.output))
		if each.expiresAt-clockSkew < b.Now+int64(b.TimeoutMS)+endMargin {
			outlives = true
		}
	}
	if !outlives {
		return 0
	}
	return total
}
