package programs

import (
	"sort"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

const (
	// countKept is how long a program's count stays after its last turn, in milliseconds: longer than any program rests.
	countKept = 15 * 60 * 1000
	// settledKept is how many settled requests of a program are remembered, so that a call that comes late or twice is known.
	settledKept = 24
	// sweepEvery is how many commands pass between looks for programs to drop.
	sweepEvery = 512
	// keepSlack is added to a turn's time, because clocks of machines differ.
	keepSlack = 10 * 1000
)

// turn is a kept turn.
type turn struct {
	previous string
	input    []byte
	output   []byte
	host     string
	expires  int64
}

// program is the state of one agent program.
type program struct {
	charged  uint64                 // settled tokens
	reserved map[string]reservation // of turns that have not ended, by request
	settled  []string
	turns    map[string]turn
	lastHost map[string]string // by session
	touched  int64
}

func (p *program) total() uint64 {
	total := p.charged
	for _, each := range p.reserved {
		total += each.estimate
	}
	return total
}

func (p *program) wasSettled(request string) bool {
	for _, each := range p.settled {
		if each == request {
			return true
		}
	}
	return false
}

// State is the programs of one shard. It has a single owner; the replica that applies commands to it.
type State struct {
	programs map[string]*program
	byTurn   map[string]string // the program of each kept turn; derived from programs
	commands uint64
}

// NewState makes an empty state.
func NewState() *State { return &State{programs: map[string]*program{}, byTurn: map[string]string{}} }

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
	if s.commands++; s.commands%sweepEvery == 0 {
		s.sweep(now)
	}
	return result
}

func (s *State) program(name string, now int64) *program {
	p := s.programs[name]
	if p == nil {
		p = &program{reserved: map[string]reservation{}, turns: map[string]turn{}, lastHost: map[string]string{}}
		s.programs[name] = p
	}
	p.touched = max(p.touched, now)
	return p
}

// begin adds the estimate and reads the total; past the budget the estimate is taken off again. Asked twice for the same
// request it charges once.
func (s *State) begin(b Begin) Result {
	p := s.program(b.Program, b.Now)
	if p.wasSettled(b.Request) {
		return Result{Code: codes.TurnSettled}
	}
	chain, host, found := p.chain(b.Previous, b.Now)
	if !found {
		return Result{Code: codes.TurnUnknown}
	}
	if host == "" {
		host = p.lastHost[b.Session]
	}
	if _, again := p.reserved[b.Request]; !again {
		p.reserved[b.Request] = reservation{estimate: b.Estimate, at: b.Now}
		if b.Limited && p.total() > b.Budget {
			delete(p.reserved, b.Request)
			return Result{Code: codes.BudgetSpent}
		}
	}
	return Result{Code: codes.OK, Chain: chain, Host: host}
}

// fetch returns the chain of a turn of any program of the shard.
func (s *State) fetch(request string, now int64) Result {
	p := s.programs[s.byTurn[request]]
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
	if !kept || now > last.expires {
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
	if p.wasSettled(c.Request) {
		return Result{Code: codes.OK}
	}
	delete(p.reserved, c.Request)
	p.charged += c.Actual
	p.settled = append(p.settled, c.Request)
	if len(p.settled) > settledKept {
		p.settled = append([]string(nil), p.settled[len(p.settled)-settledKept:]...)
	}
	if c.Host != "" {
		p.noteHost(c.Session, c.Host)
	}
	if c.Keep {
		p.keep(c)
		s.byTurn[c.Request] = c.Program
	}
	return Result{Code: codes.OK}
}

// keep stores a turn; its chain lasts as long as it does.
func (p *program) keep(c End) {
	expires := c.Now + c.KeepMS + keepSlack
	p.turns[c.Request] = turn{previous: c.Previous, input: c.Input, output: c.Output, host: c.Host, expires: expires}
	for id := c.Previous; id != ""; {
		each, kept := p.turns[id]
		if !kept {
			return
		}
		each.expires = max(each.expires, expires)
		p.turns[id] = each
		id = each.previous
	}
}

// sweep drops turns that are no longer kept, and programs that have rested for long and keep no turn.
func (s *State) sweep(now int64) {
	for name, p := range s.programs {
		p.chargeAbandoned(now)
		for id, each := range p.turns {
			if now > each.expires {
				delete(p.turns, id)
				delete(s.byTurn, id)
			}
		}
		if len(p.turns) == 0 && now-p.touched > countKept {
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
	e.Int64(p.touched)
	e.Uint32(uint32(len(p.reserved)))
	for _, request := range sortedKeys(p.reserved) {
		e.String(request)
		e.Uint64(p.reserved[request].estimate)
		e.Int64(p.reserved[request].at)
	}
	e.Uint32(uint32(len(p.settled)))
	for _, request := range p.settled {
		e.String(request)
	}
	e.Uint32(uint32(len(p.lastHost)))
	for _, session := range sortedKeys(p.lastHost) {
		e.String(session)
		e.String(p.lastHost[session])
	}
	e.Uint32(uint32(len(p.turns)))
	for _, id := range sortedKeys(p.turns) {
		each := p.turns[id]
		e.String(id)
		e.String(each.previous)
		e.Blob(each.input)
		e.Blob(each.output)
		e.String(each.host)
		e.Int64(each.expires)
	}
}

func decodeProgram(d *codec.Decoder) *program {
	p := &program{
		charged: d.Uint64(), touched: d.Int64(),
		reserved: map[string]reservation{}, turns: map[string]turn{}, lastHost: map[string]string{},
	}
	for range d.Count(smallestReservation) {
		request := d.String()
		p.reserved[request] = reservation{estimate: d.Uint64(), at: d.Int64()}
	}
	for range d.Count(4) {
		p.settled = append(p.settled, d.String())
	}
	for range d.Count(8) {
		session := d.String()
		p.lastHost[session] = d.String()
	}
	for range d.Count(28) {
		id := d.String()
		p.turns[id] = turn{previous: d.String(), input: d.Blob(), output: d.Blob(), host: d.String(), expires: d.Int64()}
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
	s.byTurn = byTurn
	return nil
}
