package control

import (
	"fmt"
	"math"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
)

// Several operators change and read the configuration through any member while members are cut off, stand still and restart, and
// most answers are lost. Each repeats its order until it gets a clear answer. What they saw is judged by porcupine: it has to be
// the history of one compare-and-set that knows the orders it answered.

const (
	linearOperators  = 4
	linearPatience   = 250 // milliseconds until an order is sent again
	linearLength     = 12_000
	linearStops      = 9_000 // after which no new calls begin
	linearCopies     = 6     // one in so many sendings arrives once more, late
	linearCopyDelay  = 5_000 // at most
	firstLinearPlace = operatorPlace + 1
)

type linearKind int

const (
	linearOrder linearKind = iota
	linearRead
)

// linearInput is a call of an operator.
type linearInput struct {
	kind    linearKind
	base    uint64
	version uint64
	body    string
}

// linearOutput is what the operator saw.
type linearOutput struct {
	clear   bool // there was a clear answer
	taken   bool
	version uint64 // that was read
	body    string
}

// linearState is the sequential register: what is in place, and the orders that were answered.
type linearState struct {
	version  uint64
	body     string
	answered string // "+version/body" of taken orders, "-base/version/body" of refused ones, in a fixed order
}

func (s linearState) has(answer string) bool { return strings.Contains(s.answered, answer+" ") }

func (s linearState) with(answer string) linearState {
	if s.has(answer) {
		return s
	}
	answers := append(strings.Fields(s.answered), answer)
	sort.Strings(answers)
	s.answered = strings.Join(answers, " ") + " "
	return s
}

func (i linearInput) taken() string   { return fmt.Sprintf("+%d/%s", i.version, i.body) }
func (i linearInput) refused() string { return fmt.Sprintf("-%d/%d/%s", i.base, i.version, i.body) }

// decide is the specification of an order.
func (s linearState) decide(in linearInput) (linearState, bool) {
	switch {
	case in.base < in.version && s.has(in.taken()):
		return s, true
	case s.has(in.refused()):
		return s, false
	case in.base != s.version || in.version <= s.version:
		return s.with(in.refused()), false
	}
	next := s.with(in.taken())
	next.version, next.body = in.version, in.body
	return next, true
}

var linearModel = porcupine.Model{
	Init: func() any { return linearState{} },
	Step: func(before, input, output any) (bool, any) {
		held, in, out := before.(linearState), input.(linearInput), output.(linearOutput)
		if in.kind == linearRead {
			return !out.clear || (out.version == held.version && out.body == held.body), held
		}
		next, taken := held.decide(in)
		return !out.clear || taken == out.taken, next
	},
}

// linearOperator makes one call after another.
type linearOperator struct {
	s       *simNetwork
	history *linearHistory
	place   place
	number  int
	base    uint64
	calls   int
	past    []linearInput // orders that it may send again
	loss    int           // answers lost in a hundred
}

// linearHistory is what all operators saw.
type linearHistory struct {
	operations []porcupine.Operation
	fault      linearFault
}

func (h *linearHistory) begin(operator int, in linearInput, now int64) int {
	// a call without an answer may take effect at any later time
	h.operations = append(h.operations, porcupine.Operation{ClientId: operator, Input: in, Call: now, Output: linearOutput{}, Return: math.MaxInt64})
	return len(h.operations) - 1
}

func (h *linearHistory) end(operation int, out linearOutput, now int64) {
	h.operations[operation].Output = out
	h.operations[operation].Return = now
}

func (s *simNetwork) addLinearOperators(history *linearHistory) {
	loss := []int{0, 50, 90}[s.random.Intn(3)]
	for i := range linearOperators {
		o := &linearOperator{s: s, history: history, place: firstLinearPlace + place(i), number: i, loss: loss}
		s.at(600+s.random.Int63n(400), o.next)
	}
}

// next begins another call.
func (o *linearOperator) next() {
	if o.s.now > linearStops {
		return
	}
	o.calls++
	in := o.choose()
	o.send(in, o.history.begin(o.number, in, o.s.now), o.s.randomMember())
}

func (o *linearOperator) choose() linearInput {
	if o.calls%4 == 1 {
		return linearInput{kind: linearRead}
	}
	if len(o.past) > 0 && o.s.random.Intn(6) == 0 {
		return o.past[o.s.random.Intn(len(o.past))]
	}
	in := linearInput{
		base: o.base, version: o.base + 1 + uint64(o.s.random.Intn(2)), // operators pick the same numbers
		body: fmt.Sprintf("o%dc%d", o.number, o.calls),
	}
	if o.s.random.Intn(8) == 0 {
		in.base++ // on a version that is yet to come
		in.version++
	}
	o.past = append(o.past, in)
	return in
}

// send makes a call, and again at the next member until the answer is clear.
func (o *linearOperator) send(in linearInput, operation int, to place) {
	if o.s.now > linearLength {
		return
	}
	if o.s.random.Intn(linearCopies) == 0 {
		o.s.at(o.s.random.Int63n(linearCopyDelay), func() {
			o.s.send(o.place, to, func() { o.s.members[to].serveLinear(in, o.history.fault, func(linearOutput) {}) })
		})
	}
	call(o.s, o.place, to, linearPatience, func(answer func(linearOutput)) { o.s.members[to].serveLinear(in, o.history.fault, answer) },
		func(out linearOutput, ok bool) {
			if !ok || !out.clear || o.s.random.Intn(100) < o.loss {
				o.s.at(10+o.s.random.Int63n(50), func() { o.send(in, operation, o.s.nextMember(to)) })
				return
			}
			o.history.end(operation, out, o.s.now)
			if in.kind == linearRead {
				o.base = out.version
			} else if out.taken {
				o.base = max(o.base, in.version)
			}
			o.s.at(1+o.s.random.Int63n(200), o.next)
		})
}

// serveLinear answers a call as the operator's API does.
func (m *simMember) serveLinear(in linearInput, fault linearFault, answer func(linearOutput)) {
	var command state.Command = state.ReadConfig{}
	if in.kind == linearOrder {
		order := state.ReplaceConfig{Base: in.base, Version: in.version, Body: []byte(fmt.Sprintf("%d %s", in.version, in.body))}
		if fault == takesAnyBase {
			order.Base = m.machine.version()
		}
		command = order
	}
	if fault == readsWithoutCommit && in.kind == linearRead {
		answer(linearAnswer(in, m.machine.readConfig()))
		return
	}
	var body []byte
	m.servePrimary(func(p *simMember, done func(codes.Code)) {
		if fault == forgetsAnswers {
			p.machine.forgetAnswers()
		}
		if fault == answersBeforeCommit && in.kind == linearOrder && p.group.IsReady() && p.machine.version() == in.base {
			p.submit(command, func(state.Result, error) {})
			done(codes.OK)
			return
		}
		p.submit(command, func(result state.Result, err error) {
			result, err = state.Settled(result, err)
			if err != nil && fault == refusesWhatIsUnclear && in.kind == linearOrder {
				done(codes.ConfigBase)
				return
			}
			if err != nil {
				done(codes.Unavailable)
				return
			}
			body = result.Body
			done(result.Code)
		})
	}, func(code codes.Code) { answer(linearAnswer(in, state.Result{Code: code, Body: body})) })
}

func linearAnswer(in linearInput, result state.Result) linearOutput {
	code := result.Code
	switch {
	case code == codes.ConfigNone && in.kind == linearRead:
		return linearOutput{clear: true}
	case !state.IsCommitted(code):
		return linearOutput{}
	case in.kind == linearOrder:
		return linearOutput{clear: true, taken: code == codes.OK}
	}
	number, text, _ := strings.Cut(string(result.Body), " ")
	version, _ := strconv.ParseUint(number, 10, 64)
	return linearOutput{clear: true, version: version, body: text}
}

// planLinear cuts members off, has them stand still and restarts them.
func (s *simNetwork) planLinear(fault linearFault) {
	for at := int64(1200); at < linearStops; at += 900 + s.random.Int63n(1800) {
		s.at(at, func() {
			victim := s.randomMember()
			if s.random.Intn(2) == 0 {
				victim = s.primaryOr(victim)
			}
			switch s.random.Intn(4) {
			case 0:
				s.cutOff(victim)
				s.at(500+s.random.Int63n(2500), s.heal)
			case 1:
				s.freeze(s.members[victim], 200+s.random.Int63n(3000))
			case 2:
				s.restartUnlessFrozen(victim, fault)
			default:
				for _, m := range s.members {
					s.restartUnlessFrozen(m.place, fault)
				}
			}
		})
	}
}

func (s *simNetwork) restartUnlessFrozen(p place, fault linearFault) {
	m := s.members[p]
	if m.frozen {
		return
	}
	if fault == losesWrites {
		m.disk.entries = m.disk.entries[:max(0, len(m.disk.entries)-3)]
	}
	m.restart()
}

// playLinear plays a seed and returns what the operators saw.
func playLinear(t testing.TB, seed int64, fault linearFault) *linearHistory {
	s := newSimMembers(t, seed)
	history := &linearHistory{fault: fault}
	s.addLinearOperators(history)
	s.planLinear(fault)
	s.play(linearLength)
	return history
}

const (
	linearSeedsVariable = "TIER_ORDER_SEEDS"
	linearStandardSeeds = 100
	linearCheckLimit    = time.Minute
)

func linearSeeds() int64 {
	if n, err := strconv.ParseInt(os.Getenv(linearSeedsVariable), 10, 64); err == nil {
		return n
	}
	return linearStandardSeeds
}

// What several operators see through any member is the history of one register that knows the orders it answered. TIER_ORDER_SEEDS
// sets how many seeds are played.
func TestOrdersAreLinearizable(t *testing.T) {
	var clear atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range linearSeeds() {
			t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
				t.Parallel()
				history := playLinear(t, seed, noLinearFault)
				if got := history.judge(); got != porcupine.Ok {
					t.Fatalf("%s, %d calls", got, len(history.operations))
				}
				clear.Add(history.clear())
			})
		}
	})
	if least := 2 * linearSeeds() * linearOperators; clear.Load() < least {
		t.Fatalf("only %d calls got a clear answer", clear.Load())
	}
	t.Logf("%d seeds, %d calls with a clear answer", linearSeeds(), clear.Load())
}

// linearFault is something wrong that the histories must show.
type linearFault int

const (
	noLinearFault linearFault = iota
	readsWithoutCommit
	answersBeforeCommit
	refusesWhatIsUnclear
	forgetsAnswers
	losesWrites
	takesAnyBase
)

const linearFaultSeeds = 60

func TestWrongOrdersAreFound(t *testing.T) {
	for name, fault := range map[string]linearFault{
		"a member reads its own state":             readsWithoutCommit,
		"an order is answered when it is proposed": answersBeforeCommit,
		"an unclear order is refused":              refusesWhatIsUnclear,
		"the answers are forgotten":                forgetsAnswers,
		"a restart loses the last writes":          losesWrites,
		"an order is taken on any base":            takesAnyBase,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(linearFaultSeeds) {
				history := playLinear(t, seed, fault)
				if got := history.judge(); got == porcupine.Illegal {
					t.Logf("found by seed %d", seed)
					return
				}
			}
			t.Fatalf("not found by %d seeds", linearFaultSeeds)
		})
	}
}

func (h *linearHistory) judge() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(linearModel, h.operations, linearCheckLimit)
}

func (h *linearHistory) clear() int64 {
	count := int64(0)
	for _, operation := range h.operations {
		if operation.Output.(linearOutput).clear {
			count++
		}
	}
	return count
}
