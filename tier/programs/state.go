package programs

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// State holds the programs of one shard. It is not safe for concurrent use: its single owner is the replica that applies commands to
// it.
type State struct {
	programs      map[string]*program
	programOfTurn map[string]string // program of each retained turn, by request; derived from programs
	commands      uint64            // number of commands applied
	retainedBytes int64             // memory of the retained turns
	usage         *Usage
}

// NewState returns an empty state with a Usage of its own.
func NewState() *State { return NewStateIn(&Usage{}) }

// NewStateIn returns an empty state that adds its memory to usage.
func NewStateIn(usage *Usage) *State {
	return &State{programs: map[string]*program{}, programOfTurn: map[string]string{}, usage: usage}
}

// Apply executes an encoded command and returns its Result. A command that cannot be decoded changes nothing and results in
// codes.Malformed.
func (s *State) Apply(_ uint64, command []byte) any {
	result, now, err := s.dispatch(codec.NewDecoder(command))
	if err != nil {
		return Result{Code: codes.Malformed}
	}
	if s.commands++; s.commands%sweepInterval == 0 {
		s.sweep(now)
	}
	return result
}

// dispatch decodes a command and executes it. It also returns the time that the command carries.
func (s *State) dispatch(d *codec.Decoder) (result Result, now int64, err error) {
	switch CommandKind(d.Uint8()) {
	case CommandBegin:
		begin := decodeBegin(d)
		if d.Err() == nil {
			result = s.begin(begin)
		}
		return result, begin.Now, d.Err()
	case CommandEnd:
		end := decodeEnd(d)
		if d.Err() == nil {
			result = s.end(end)
		}
		return result, end.Now, d.Err()
	case CommandFetch:
		// Decoded here and not into a Fetch, so that the request ID causes no heap allocation.
		now = d.Int64()
		request := d.String()
		if d.Err() == nil {
			result = s.fetch(request, now)
		}
		return result, now, d.Err()
	default:
		return Result{}, 0, codec.ErrMalformed
	}
}

// program returns a program, which it creates if it does not exist, and updates its time of last use.
func (s *State) program(name string, now int64) *program {
	p := s.programs[name]
	if p == nil {
		p = newProgram()
		s.programs[name] = p
		s.addPrograms(1)
	}
	p.lastUsed = max(p.lastUsed, now)
	return p
}

// begin reserves the estimate of a turn, and releases it again if the total exceeds the budget. A repeated Begin reserves it once.
func (s *State) begin(b Begin) Result {
	p := s.program(b.Program, b.Now)
	_, repeated := p.reserved[b.Request]
	if code, settled := p.settledCode(b.Request, b.Ticket); settled && !repeated {
		return Result{Code: code}
	}
	chain, found := p.chain(b.Previous, b.Now)
	if !found {
		return Result{Code: codes.TurnUnknown}
	}
	host := chain.host
	if host == "" {
		host = p.sessionHosts[b.Session]
	}
	if !repeated {
		p.reserved[b.Request] = reservation{estimate: b.Estimate, begunAt: b.Now}
		if b.Limited && p.total() > b.Budget {
			delete(p.reserved, b.Request)
			p.settle(settledTurn{b.Request, b.Ticket, codes.BudgetSpent}, b.Now)
			return Result{Code: codes.BudgetSpent}
		}
	}
	return Result{Code: codes.OK, Chain: chain.parts, Host: host, ChainTTL: p.chainTTL(b, chain)}
}

// end releases a turn's reservation and charges its actual tokens. A repeated End charges them once.
func (s *State) end(c End) Result {
	p := s.program(c.Program, c.Now)
	_, open := p.reserved[c.Request]
	if _, settled := p.settledCode(c.Request, c.Ticket); settled && !open {
		return Result{Code: codes.OK}
	}
	delete(p.reserved, c.Request)
	p.charged += c.Actual
	p.settle(settledTurn{c.Request, c.Ticket, codes.TurnSettled}, c.Now)
	if c.Host != "" {
		p.rememberHost(c.Session, c.Host)
	}
	if c.Retain && s.retain(p, c) {
		s.programOfTurn[c.Request] = c.Program
	}
	return Result{Code: codes.OK}
}

// fetch returns the chain of a turn, which may belong to any program of the shard.
func (s *State) fetch(request string, now int64) Result {
	p := s.programs[s.programOfTurn[request]]
	if p == nil {
		return Result{Code: codes.TurnUnknown}
	}
	chain, found := p.chain(request, now)
	if !found {
		return Result{Code: codes.TurnUnknown}
	}
	return Result{Code: codes.OK, Chain: chain.parts, Host: chain.host}
}
