package attempt

import (
	"fmt"
	"net/http"
	"testing"
)

// The model: two requests share a connection to a host that does whatever a host in trouble may do. What the package decides is
// taken from rules, so that tests can put in bugs. Every sequence of events up to a depth is explored; states that were seen
// before are not explored again.

const (
	modelDepth   = 18
	modelRequest = 2 // requests on the connection
	modelFrames  = 2 // answers on their way to the client
	modelRuns    = 2 // max_attempts of idempotent requests
)

// rules are the decisions under test.
type rules struct {
	receive    func(*Exchange, Head) Verdict
	lost       func(*Exchange)
	outcome    func(Exchange) Outcome
	reusable   func(Exchange) bool
	next       func(*Attempts, Outcome) Step
	mayForward func(Attempts, Head) bool
}

func soundRules() rules {
	return rules{
		receive:    func(x *Exchange, head Head) Verdict { return x.ReceiveHead(head) },
		lost:       func(x *Exchange) { x.Break() },
		outcome:    OutcomeOf,
		reusable:   func(x Exchange) bool { return x.IsReusable() },
		next:       func(a *Attempts, outcome Outcome) Step { return a.Next(outcome) },
		mayForward: func(a Attempts, head Head) bool { return a.MayForward(head) },
	}
}

// noRequest is the owner of an answer to nothing that the connection carried.
const noRequest = int8(-1)

// frame is an answer on its way to the client.
type frame struct {
	owner       int8
	status      int
	notExecuted bool
	unsealed    bool
	byClose     bool
	closing     bool
	broken      bool // the connection ends in its body
}

// modelled is a request, what its client knows of it, and the truth.
type modelled struct {
	exchange Exchange
	attempts Attempts
	reading  frame // whose head was accepted
	over     bool  // the client has its answer, or never will
	left     bool  // the client has gone

	ran      uint8 // how often it has run, at all hosts
	ranHere  bool
	refused  bool // this host has said that it never will run it
	answered bool // this host has answered it
	promised bool // its client was told that it has not run and never will
}

// world is a state of the model. It is comparable.
type world struct {
	requests [modelRequest]modelled
	current  int8 // the request that holds the connection
	wire     [modelFrames]frame
	waiting  int8 // frames on the wire
	cut      bool // the connection has ended, as the host sees it
	dropped  bool // nobody uses the connection any more
}

// model explores the worlds that rules allow.
type model struct {
	rules           rules
	repeatabilities [modelRequest]Repeatability
	violation       string
}

func (m *model) first() world {
	w := world{}
	for i := range w.requests {
		w.requests[i].attempts = NewAttempts(m.repeatabilities[i], modelRuns)
	}
	return w
}

func (m *model) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// run has a host run a request.
func (m *model) run(w *world, i int8) {
	request := &w.requests[i]
	request.ran++
	if m.repeatabilities[i] == AtMostOnce && request.ran > 1 {
		m.violate("request %d, which may run once, ran %d times", i, request.ran)
	}
	if request.ran > modelRuns {
		m.violate("request %d ran %d times", i, request.ran)
	}
	if m.repeatabilities[i] == AtMostOnce && request.promised {
		m.violate("request %d ran, though its client was told that it never will", i)
	}
}

// next lists the worlds that follow a world by one event.
func (m *model) next(w world) []world {
	var following []world
	try := func(change func(*world)) {
		copied := w
		change(&copied)
		following = append(following, copied)
	}
	m.hostEvents(w, try)
	if !w.dropped {
		m.clientEvents(w, try)
	}
	return following
}

// hostEvents are what a host may do with what it was sent, also after the connection has ended.
func (m *model) hostEvents(w world, try func(func(*world))) {
	connected := !w.cut && !w.dropped
	for i := range int8(modelRequest) {
		request := w.requests[i]
		sent := request.exchange.Written() != WrittenNone
		if sent && !request.ranHere && !request.refused {
			try(func(w *world) {
				w.requests[i].ranHere = true
				m.run(w, i)
			})
		}
		if !sent || !connected || w.waiting == modelFrames {
			continue
		}
		if !request.answered {
			m.answers(i, request, try)
		} else {
			unsolicitedAnswers(i, try)
		}
	}
	if !connected {
		return
	}
	if w.waiting < modelFrames {
		try(emit(frame{owner: noRequest, status: http.StatusOK}))
		try(emit(frame{owner: noRequest, status: http.StatusServiceUnavailable, notExecuted: true}))
	}
	try(func(w *world) { w.cut = true })
}

// unsolicitedAnswers are further ones to a request that was answered, early or late, of the same or of another kind.
func unsolicitedAnswers(i int8, try func(func(*world))) {
	try(emit(frame{owner: i, status: http.StatusOK}))
	try(emit(frame{owner: i, status: http.StatusServiceUnavailable, notExecuted: true}))
	try(emit(frame{owner: i, status: http.StatusOK, byClose: true}))
}

// answers are what a host may say to a request that it has at least begun to read.
func (m *model) answers(i int8, request modelled, try func(func(*world))) {
	answer := func(f frame) {
		f.owner = i
		try(func(w *world) {
			w.requests[i].answered = true
			w.requests[i].refused = w.requests[i].refused || f.notExecuted
			emit(f)(w)
		})
	}
	if !request.ranHere {
		answer(frame{status: http.StatusServiceUnavailable, notExecuted: true})
		answer(frame{status: http.StatusServiceUnavailable, notExecuted: true, broken: true})
		return
	}
	for _, f := range []frame{
		{status: http.StatusOK},
		{status: http.StatusOK, closing: true},
		{status: http.StatusOK, byClose: true},
		{status: http.StatusOK, broken: true},
		{status: http.StatusOK, byClose: true, broken: true},
		{status: http.StatusOK, unsealed: true},
		{status: http.StatusInternalServerError},
		{status: http.StatusServiceUnavailable},
	} {
		answer(f)
	}
}

// emit puts an answer onto the wire.
func emit(f frame) func(*world) {
	return func(w *world) {
		w.wire[w.waiting] = f
		w.waiting++
		w.cut = w.cut || f.broken || f.byClose || f.closing
	}
}

// take takes the first answer off the wire.
func (w *world) take() frame {
	f := w.wire[0]
	copy(w.wire[:], w.wire[1:])
	w.wire[modelFrames-1] = frame{}
	w.waiting--
	return f
}

// clientEvents are what the owner of the connection may do or see.
func (m *model) clientEvents(w world, try func(func(*world))) {
	i := w.current
	request := w.requests[i]
	if request.exchange.Written() != WrittenAll {
		for _, progress := range []Progress{WrittenSome, WrittenAll} {
			if progress > request.exchange.Written() && !w.cut {
				try(func(w *world) { m.write(w, progress) })
			}
		}
	}
	switch stage := request.exchange.Stage(); {
	case stage >= HeadRead:
		try(m.readBody)
	case w.waiting > 0 && request.exchange.Written() != WrittenNone:
		try(m.readHead)
	case w.cut:
		try(func(w *world) { m.fail(w) })
	}
	try(func(w *world) { // the client leaves, or its time is up
		w.requests[i].left = true
		m.fail(w)
	})
}

func (m *model) write(w *world, progress Progress) {
	for i := range w.current {
		if w.requests[i].exchange.Written() != WrittenAll {
			m.violate("request %d stands where the body of request %d is due", w.current, i)
		}
	}
	w.requests[w.current].exchange.Write(progress)
}

func (m *model) readHead(w *world) {
	request := &w.requests[w.current]
	f := w.take()
	head := Head{Status: f.status, NotExecuted: f.notExecuted, Sealed: !f.unsealed && f.status == http.StatusOK, Closing: f.closing}
	switch {
	case f.owner == w.current:
		head.Owner = OwnerOwn
	case f.owner >= 0:
		head.Owner = OwnerEarlier
	}
	if f.byClose {
		head.Framing = FramedByClose
	}
	switch m.rules.receive(&request.exchange, head) {
	case Accept:
		request.reading = f
	case Reject:
		m.fail(w)
	case Skip:
	}
}

func (m *model) readBody(w *world) {
	request := &w.requests[w.current]
	request.exchange.ReceiveBody()
	if request.reading.broken {
		m.rules.lost(&request.exchange)
	} else {
		request.exchange.End()
	}
	if w.waiting > 0 {
		request.exchange.ReceiveUnsolicited()
	}
	m.settle(w)
}

// fail ends the exchange without an answer.
func (m *model) fail(w *world) {
	w.requests[w.current].exchange.Break()
	m.settle(w)
}

// settle has what follows an exchange that is over happen: the client's answer, or further hosts, and the connection's next owner.
func (m *model) settle(w *world) {
	i := w.current
	request := &w.requests[i]
	step := m.rules.next(&request.attempts, m.rules.outcome(request.exchange))
	for step == Retry && !request.left {
		// the worst that another host can do: it runs the request, and its answer is lost
		m.run(w, i)
		step = m.rules.next(&request.attempts, Uncertain)
	}
	if request.left && step != Forward {
		step = Fail // an answer that promises nothing, if there is anybody to get it
	}
	m.deliver(w, i, step)
	request.over = true
	if m.rules.reusable(request.exchange) && w.waiting == 0 && int(i)+1 < modelRequest {
		if request.reading.closing || request.reading.byClose {
			m.violate("request %d is sent on a connection that its host ends", i+1)
		}
		w.current++
		return
	}
	w.dropped = true
	w.wire = [modelFrames]frame{}
	w.waiting = 0
}

// deliver gives the client its answer.
func (m *model) deliver(w *world, i int8, step Step) {
	request := &w.requests[i]
	switch step {
	case Forward:
		f := request.reading
		if !m.rules.mayForward(request.attempts, request.exchange.Head()) {
			return
		}
		if f.owner != i {
			m.violate("request %d got the answer of request %d", i, f.owner)
		}
		if f.broken || (f.unsealed && f.status == http.StatusOK) {
			m.violate("request %d got a broken answer as a whole one", i)
		}
		if PromisesNotExecuted(f.status) {
			m.promise(w, i)
		}
	case Refuse:
		m.promise(w, i)
	}
}

// promise tells the client that its request has not run and never will.
func (m *model) promise(w *world, i int8) {
	request := &w.requests[i]
	request.promised = true
	if m.repeatabilities[i] == AtMostOnce && request.ran > 0 {
		m.violate("request %d has run, though its client was told that it has not", i)
	}
}

// explore goes through every sequence of events up to the depth. It returns the number of states, or the first violation.
func (m *model) explore(depth int) (states int, violation string) {
	frontier := []world{m.first()}
	seen := map[world]bool{frontier[0]: true}
	for range depth {
		var reached []world
		for _, w := range frontier {
			for _, following := range m.next(w) {
				if m.violation != "" {
					return len(seen), m.violation
				}
				if !seen[following] {
					seen[following] = true
					reached = append(reached, following)
				}
			}
		}
		frontier = reached
	}
	return len(seen), ""
}

// repeatabilityPairs are the repeatabilities of the two requests.
func repeatabilityPairs() [][modelRequest]Repeatability {
	var pairs [][modelRequest]Repeatability
	for _, first := range []Repeatability{AtMostOnce, Idempotent, Resumable} {
		for _, second := range []Repeatability{AtMostOnce, Idempotent} {
			pairs = append(pairs, [modelRequest]Repeatability{first, second})
		}
	}
	return pairs
}

// An answer reaches only its request, nothing that may have run once is sent again, and no broken answer is a success, whatever
// happens on the connection.
func TestNoSequenceOfEventsBreaksARule(t *testing.T) {
	total := 0
	for _, repeatabilities := range repeatabilityPairs() {
		m := &model{rules: soundRules(), repeatabilities: repeatabilities}
		states, violation := m.explore(modelDepth)
		if violation != "" {
			t.Fatalf("%v: %s", repeatabilities, violation)
		}
		total += states
	}
	t.Logf("%d states to a depth of %d events, 0 violations", total, modelDepth)
	if total < 10_000 {
		t.Fatalf("%d states: the model explores too little", total)
	}
}

// bugs are faults put into the rules, each of which the model has to find.
var bugs = map[string]func(*rules){
	"a request that left in part counts as unsent": func(r *rules) {
		r.outcome = func(x Exchange) Outcome {
			if x.written == WrittenSome && x.stage == Broken {
				return Unsent
			}
			return OutcomeOf(x)
		}
	},
	"a connection is given back while the body is still written": func(r *rules) {
		r.reusable = func(x Exchange) bool {
			x.written = WrittenAll
			return x.IsReusable()
		}
	},
	"a connection that its host ends is given back": func(r *rules) {
		r.reusable = func(x Exchange) bool {
			x.head.Closing = false
			return x.IsReusable()
		}
	},
	"an answer without a length leaves its connection to others": func(r *rules) {
		r.reusable = func(x Exchange) bool {
			x.head.Framing = FramedByItself
			return x.IsReusable()
		}
	},
	"an answer to an earlier request is taken": func(r *rules) {
		r.receive = func(x *Exchange, head Head) Verdict {
			if head.Owner == OwnerEarlier {
				head.Owner = OwnerOwn
			}
			return x.ReceiveHead(head)
		}
	},
	"an answer to no request is taken": func(r *rules) {
		r.receive = func(x *Exchange, head Head) Verdict {
			if head.Owner == OwnerNone {
				head.Owner = OwnerOwn
			}
			return x.ReceiveHead(head)
		}
	},
	"an answer that broke off counts as whole": func(r *rules) {
		r.lost = func(x *Exchange) { x.End() }
	},
	"a success without a seal is taken": func(r *rules) {
		r.receive = func(x *Exchange, head Head) Verdict {
			head.Sealed = true
			return x.ReceiveHead(head)
		}
	},
	"a status alone proves that a request did not run": func(r *rules) {
		r.receive = func(x *Exchange, head Head) Verdict {
			head.NotExecuted = head.NotExecuted || PromisesNotExecuted(head.Status)
			return x.ReceiveHead(head)
		}
	},
	"a promise is passed on without proof": func(r *rules) {
		r.mayForward = func(Attempts, Head) bool { return true }
	},
	"a request that may run once is sent again after silence": func(r *rules) {
		r.next = func(a *Attempts, outcome Outcome) Step {
			if outcome == Uncertain {
				outcome = Refused
			}
			return a.Next(outcome)
		}
	},
	"runs are not counted": func(r *rules) {
		r.next = func(a *Attempts, outcome Outcome) Step {
			runs := a.remainingRuns
			step := a.Next(outcome)
			if a.repeatability == Idempotent && outcome == Uncertain && a.remainingRefusals > 0 {
				a.remainingRuns = runs
				a.remainingRefusals--
				return Retry
			}
			return step
		}
	},
}

// Each bug that is put into the rules is found.
func TestTheModelFindsEachBug(t *testing.T) {
	for name, put := range bugs {
		t.Run(name, func(t *testing.T) {
			found := ""
			for _, repeatabilities := range repeatabilityPairs() {
				m := &model{rules: soundRules(), repeatabilities: repeatabilities}
				put(&m.rules)
				if _, found = m.explore(modelDepth); found != "" {
					break
				}
			}
			if found == "" {
				t.Fatal("not found")
			}
			t.Log(found)
		})
	}
}
