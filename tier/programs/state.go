package programs

import (
	"maps"
	"slices"
	"sort"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

const (
	// idleProgramTTL is how long a program's count stays after its last turn, in milliseconds: longer than any program rests.
	idleProgramTTL = 15 * 60 * 1000
	// sweepInterval is how many commands pass between looks for programs to drop.
	sweepInterval = 512
	// clockSkew is added to a turn's time, because clocks of machines differ.
	clockSkew = 10 * 1000
)

// turn is a kept turn.
type turn struct {
	previous  string
	input     []byte
	output    []byte
	host      string
	expiresAt int64
}

// program is the state of one agent program.
type program struct {
	charged      uint64                 // settled tokens
	reserved     map[string]reservation // of turns that have not ended, by request
	settled      []settledTurn          // the newest ones
	watermarks   map[uint64]watermark   // by gateway, of the settled turns before these
	turns        map[string]turn
	sessionHosts map[string]string // by session
	lastUsed     int64
}

func newProgram() *program {
	return &program{
		reserved: map[string]reservation{}, watermarks: map[uint64]watermark{}, turns: map[string]turn{}, sessionHosts: map[string]string{},
	}
}

func (p *program) total() uint64 {
	total := p.charged
	for _, each := range p.reserved {
		total += each.estimate
	}
	return total
}

// State is the programs of one shard. It has a single owner; the replica that applies commands to it.
type State struct {
	programs      map[string]*program
	programOfTurn map[string]string // the program of each kept turn; derived from programs
	commands      uint64
}

// NewState makes an empty state.
func NewState() *State {
	return &State{programs: map[string]*program{}, programOfTurn: map[string]string{}}
}

// Apply carries out a command.
func (s *State) Apply(_ uint64, command []byte) any {
	d := codec.NewDecoder(command)
	var result Result
	var now int64
	switch CommandKind(d.Uint8()) {
	case CommandBegin:
		begin := decodeBegin(d)
		if d.Err() != nil {
			return Result{Code: codes.Malformed}
		}
		now = begin.Now
		result = s.begin(begin)
	case CommandEnd:
		end := decodeEnd(d)
		if d.Err() != nil {
			return Result{Code: codes.Malformed}
		}
		now = end.Now
		result = s.end(end)
	case CommandFetch:
		now = d.Int64()
		request := d.String()
		if d.Err() != nil {
			return Result{Code: codes.Malformed}
		}
		result = s.fetch(request, now)
	default:
		return Result{Code: codes.Malformed}
	}
	if s.commands++; s.commands%sweepInterval == 0 {
		s.sweep(now)
	}
	return result
}

func (s *State) program(name string, now int64) *program {
	p := s.programs[name]
	if p == nil {
		p = newProgram()
		s.programs[name] = p
	}
	p.lastUsed = max(p.lastUsed, now)
	return p
}

// begin adds the estimate and reads the total; past the budget the estimate is taken off again. Asked twice for the same
// request it charges once.
func (s *State) begin(b Begin) Result {
	p := s.program(b.Program, b.Now)
	_, again := p.reserved[b.Request]
	if answer, settled := p.settledAnswer(b.Request, b.Ticket); settled && !again {
		return Result{Code: answer}
	}
	chain, host, found := p.chain(b.Previous, b.Now)
	if !found {
		return Result{Code: codes.TurnUnknown}
	}
	if host == "" {
		host = p.sessionHosts[b.Session]
	}
	if !again {
		p.reserved[b.Request] = reservation{estimate: b.Estimate, begunAt: b.Now}
		if b.Limited && p.total() > b.Budget {
			delete(p.reserved, b.Request)
			p.settle(settledTurn{b.Request, b.Ticket, codes.BudgetSpent}, b.Now)
			return Result{Code: codes.BudgetSpent}
		}
	}
	return Result{Code: codes.OK, Chain: chain, Host: host}
}

// fetch returns the chain of a turn of any program of the shard.
func (s *State) fetch(request string, now int64) Result {
	p := s.programs[s.programOfTurn[request]]
	if p == nil {
		return Result{Code: codes.TurnUnknown}
	}
	chain, host, found := p.chain(request, now)
	if !found {
		return Result{Code: codes.TurnUnknown}
	}
	return Result{Code: codes.OK, Chain: chain, Host: host}
}

// chain collects the turns that a new one goes on from.
func (p *program) chain(previous string, now int64) (parts [][]byte, host string, found bool) {
	if previous == "" {
		return nil, "", true
	}
	var reversed [][]byte
	last, kept := p.turns[previous]
	if !kept || now > last.expiresAt {
		return nil, "", false
	}
	for id := previous; id != ""; {
		each, kept := p.turns[id]
		if !kept {
			return nil, "", false
		}
		reversed = append(reversed, each.output, each.input)
		id = each.previous
	}
	for i := len(reversed) - 1; i >= 0; i-- {
		parts = append(parts, reversed[i])
	}
	return parts, last.host, true
}

// end settles actual minus estimate. Asked twice it settles once.
func (s *State) end(c End) Result {
	p := s.program(c.Program, c.Now)
	_, open := p.reserved[c.Request]
	if _, settled := p.settledAnswer(c.Request, c.Ticket); settled && !open {
		return Result{Code: codes.OK}
	}
	delete(p.reserved, c.Request)
	p.charged += c.Actual
	p.settle(settledTurn{c.Request, c.Ticket, codes.TurnSettled}, c.Now)
	if c.Host != "" {
		p.rememberHost(c.Session, c.Host)
	}
	if c.Retain {
		p.retain(c)
		s.programOfTurn[c.Request] = c.Program
	}
	return Result{Code: codes.OK}
}

// retain stores a turn; its chain lasts as long as it does.
func (p *program) retain(c End) {
	expires := c.Now + c.RetentionMS + clockSkew
	p.turns[c.Request] = turn{previous: c.Previous, input: c.Input, output: c.Output, host: c.Host, expiresAt: expires}
	for id := c.Previous; id != ""; {
		each, kept := p.turns[id]
		if !kept {
			return
		}
		each.expiresAt = max(each.expiresAt, expires)
		p.turns[id] = each
		id = each.previous
	}
}

// sweep drops turns that are no longer kept, and programs that have rested for long and keep no turn.
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

// Snapshot is the state as bytes, the same for the same state.
func (s *State) Snapshot() []byte {
	var e codec.Encoder
	e.Uint64(s.commands)
	names := sortedKeys(s.programs)
	e.Uint32(uint32(len(names)))
	for _, name := range names {
		e.String(name)
		s.programs[name].encode(&e)
	}
	return e.Bytes
}

func sortedIDs[V any](values map[uint64]V) []uint64 {
	return slices.Sorted(maps.Keys(values))
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (p *program) encode(e *codec.Encoder) {
	e.Uint64(p.charged)
	e.Int64(p.lastUsed)
	e.Uint32(uint32(len(p.reserved)))
	for _, request := range sortedKeys(p.reserved) {
		e.String(request)
		e.Uint64(p.reserved[request].estimate)
		e.Int64(p.reserved[request].begunAt)
	}
	p.encodeSettled(e)
	e.Uint32(uint32(len(p.sessionHosts)))
	for _, session := range sortedKeys(p.sessionHosts) {
		e.String(session)
		e.String(p.sessionHosts[session])
	}
	e.Uint32(uint32(len(p.turns)))
	for _, id := range sortedKeys(p.turns) {
		each := p.turns[id]
		e.String(id)
		e.String(each.previous)
		e.Blob(each.input)
		e.Blob(each.output)
		e.String(each.host)
		e.Int64(each.expiresAt)
	}
}

func decodeProgram(d *codec.Decoder) *program {
	p := newProgram()
	p.charged = d.Uint64()
	p.lastUsed = d.Int64()
	for range d.Count(minReservationBytes) {
		request := d.String()
		p.reserved[request] = reservation{estimate: d.Uint64(), begunAt: d.Int64()}
	}
	p.decodeSettled(d)
	for range d.Count(8) {
		session := d.String()
		p.sessionHosts[session] = d.String()
	}
	for range d.Count(28) {
		id := d.String()
		p.turns[id] = turn{previous: d.String(), input: d.Blob(), output: d.Blob(), host: d.String(), expiresAt: d.Int64()}
	}
	return p
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	commands := d.Uint64()
	programs := map[string]*program{}
	byTurn := map[string]string{}
	for range d.Count(4) {
		name := d.String()
		programs[name] = decodeProgram(d)
		for request := range programs[name].turns {
			byTurn[request] = name
		}
	}
	if d.Err() != nil {
		return d.Err()
	}
	s.commands = commands
	s.programs = programs
	s.programOfTurn = byTurn
	return nil
}
