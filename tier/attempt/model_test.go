package attempt

import (
	"fmt"
	"net/http"
	"testing"
)

// Model checker for the rules of this package. Two requests share a connection to a host that may fail in any way. The decisions of
// the package are called through rules, so that tests can inject bugs. The checker explores every sequence of events up to a depth,
// but no state twice.

const (
	modelDepth    = 18
	modelRequests = 2 // number of requests on the connection
	modelFrames   = 2 // maximum number of responses in transit to the client
	modelRuns     = 2 // max_attempts of idempotent requests
)

// rules contains the decisions under test.
type rules struct {
	receive    func(*Exchange, Head) Verdict
	lost       func(*Exchange)
	outcome    func(Exchange) Outcome
	reusable   func(Exchange) bool
	next       func(*Attempts, Outcome) Step
	mayForward func(Attempts, Head) bool
}

// soundRules returns the rules as the package implements them.
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

// noRequest is the owner of a response to a request that the connection never carried.
const noRequest = int8(-1)

// frame is a response in transit to the client.
type frame struct {
	owner       int8
	status      int
	notExecuted bool
	unsealed    bool
	byClose     bool
	closing     bool
	broken      bool // the connection ends within the body
}

// modelRequestState is a request: its state at the client and its actual state at the hosts.
type modelRequestState struct {
	exchange     Exchange
	attempts     Attempts
	reading      frame // the response whose head was accepted
	over         bool  // the client has received its response, or never will
	disconnected bool  // the client has disconnected

	ran      uint8 // number of runs at all hosts
	ranHere  bool  // this host has run the request
	refused  bool  // this host has stated that it will never run the request
	answered bool  // this host has responded to the request
	promised bool  // the client was told that the request has not run and never will
}

// world is a state of the model. It is comparable.
type world struct {
	requests   [modelRequests]modelRequestState
	current    int8 // the request that owns the connection
	wire       [modelFrames]frame
	inTransit  int8 // number of frames on the wire
	hostClosed bool // the host's end of the connection is closed
	abandoned  bool // the client's end of the connection is no longer used
}

// model explores the worlds that are reachable under the rules.
type model struct {
	rules           rules
	repeatabilities [modelRequests]Repeatability
	violation       string
}

// first returns the initial world.
func (m *model) first() world {
	w := world{}
	for i := range w.requests {
		w.requests[i].attempts = NewAttempts(m.repeatabilities[i], modelRuns)
	}
	return w
}

// violate records the first violation.
func (m *model) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// run records that a host runs a request, and checks that the run is permitted.
func (m *model) run(w *world, i int8) {
	request := &w.requests[i]
	request.ran++
	if m.repeatabilities[i] == AtMostOnce && request.ran > 1 {
		m.violate("request %d, which may run at most once, ran %d times", i, request.ran)
	}
	if request.ran > modelRuns {
		m.violate("request %d ran %d times", i, request.ran)
	}
	if m.repeatabilities[i] == AtMostOnce && request.promised {
		m.violate("request %d ran although its client was told that it never will", i)
	}
}

// next returns the worlds that are reached from a world by one event.
func (m *model) next(w world) []world {
	var successors []world
	try := func(change func(*world)) {
		copied := w
		change(&copied)
		successors = append(successors, copied)
	}
	m.hostEvents(w, try)
	if !w.abandoned {
		m.clientEvents(w, try)
	}
	return successors
}

// hostEvents tries the events of the host. It may run a request that it has received even after the connection has ended.
func (m *model) hostEvents(w world, try func(func(*world))) {
	connected := !w.hostClosed && !w.abandoned
	for i := range int8(modelRequests) {
		request := w.requests[i]
		sent := request.exchange.Written() != WrittenNone
		if sent && !request.ranHere && !request.refused {
			try(func(w *world) {
				w.requests[i].ranHere = true
				m.run(w, i)
			})
		}
		if !sent || !connected || w.inTransit == modelFrames {
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
	if w.inTransit < modelFrames {
		try(emit(frame{owner: noRequest, status: http.StatusOK}))
		try(emit(frame{owner: noRequest, status: http.StatusServiceUnavailable, notExecuted: true}))
	}
	try(func(w *world) { w.hostClosed = true })
}

// unsolicitedAnswers tries additional responses to a request that was already answered, of the same or of a different kind.
func unsolicitedAnswers(i int8, try func(func(*world))) {
	try(emit(frame{owner: i, status: http.StatusOK}))
	try(emit(frame{owner: i, status: http.StatusServiceUnavailable, notExecuted: true}))
	try(emit(frame{owner: i, status: http.StatusOK, byClose: true}))
}

// answers tries the responses of a host to a request that it has read at least in part.
func (m *model) answers(i int8, request modelRequestState, try func(func(*world))) {
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

// emit returns the event of a response being put on the wire.
func emit(f frame) func(*world) {
	return func(w *world) {
		w.wire[w.inTransit] = f
		w.inTransit++
		w.hostClosed = w.hostClosed || f.broken || f.byClose || f.closing
	}
}

// take removes the first response from the wire and returns it.
func (w *world) take() frame {
	f := w.wire[0]
	copy(w.wire[:], w.wire[1:])
	w.wire[modelFrames-1] = frame{}
	w.inTransit--
	return f
}

// clientEvents tries the events at the client's end of the connection.
func (m *model) clientEvents(w world, try func(func(*world))) {
	i := w.current
	request := w.requests[i]
	if request.exchange.Written() != WrittenAll {
		for _, progress := range []Progress{WrittenSome, WrittenAll} {
			if progress > request.exchange.Written() && !w.hostClosed {
				try(func(w *world) { m.write(w, progress) })
			}
		}
	}
	switch stage := request.exchange.Stage(); {
	case stage >= HeadRead:
		try(m.readBody)
	case w.inTransit > 0 && request.exchange.Written() != WrittenNone:
		try(m.readHead)
	case w.hostClosed:
		try(func(w *world) { m.fail(w) })
	}
	try(func(w *world) { // the client disconnects, or its deadline passes
		w.requests[i].disconnected = true
		m.fail(w)
	})
}

// write records how much of the current request has been sent, and checks that it is not sent within the body of an earlier request.
func (m *model) write(w *world, progress Progress) {
	for i := range w.current {
		if w.requests[i].exchange.Written() != WrittenAll {
			m.violate("request %d is sent before the body of request %d is complete", w.current, i)
		}
	}
	w.requests[w.current].exchange.Write(progress)
}

// readHead reads the head of the first response on the wire.
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

// readBody reads the body of the accepted response.
func (m *model) readBody(w *world) {
	request := &w.requests[w.current]
	request.exchange.ReceiveBody()
	if request.reading.broken {
		m.rules.lost(&request.exchange)
	} else {
		request.exchange.End()
	}
	if w.inTransit > 0 {
		request.exchange.ReceiveUnsolicited()
	}
	m.settle(w)
}

// fail ends the exchange without a response.
func (m *model) fail(w *world) {
	w.requests[w.current].exchange.Break()
	m.settle(w)
}

// settle handles the end of an exchange: further attempts or the response to the client, and the next request on the connection.
func (m *model) settle(w *world) {
	i := w.current
	request := &w.requests[i]
	step := m.rules.next(&request.attempts, m.rules.outcome(request.exchange))
	for step == Retry && !request.disconnected {
		// Worst case of another host: it runs the request, and its response is lost.
		m.run(w, i)
		step = m.rules.next(&request.attempts, Uncertain)
	}
	if request.disconnected && step != Forward {
		step = Fail // the response promises nothing, if the client still receives it
	}
	m.deliver(w, i, step)
	request.over = true
	if m.rules.reusable(request.exchange) && w.inTransit == 0 && int(i)+1 < modelRequests {
		if request.reading.closing || request.reading.byClose {
			m.violate("request %d is sent on a connection that the host closes", i+1)
		}
		w.current++
		return
	}
	w.abandoned = true
	w.wire = [modelFrames]frame{}
	w.inTransit = 0
}

// deliver gives the client its response, and checks that the response is correct.
func (m *model) deliver(w *world, i int8, step Step) {
	request := &w.requests[i]
	switch step {
	case Forward:
		f := request.reading
		if !m.rules.mayForward(request.attempts, request.exchange.Head()) {
			return
		}
		if f.owner != i {
			m.violate("request %d got the response to request %d", i, f.owner)
		}
		if f.broken || (f.unsealed && f.status == http.StatusOK) {
			m.violate("request %d got a broken response as a complete one", i)
		}
		if PromisesNotExecuted(f.status) {
			m.promise(w, i)
		}
	case Refuse:
		m.promise(w, i)
	}
}

// promise records that the client was told that its request has not run and never will.
func (m *model) promise(w *world, i int8) {
	request := &w.requests[i]
	request.promised = true
	if m.repeatabilities[i] == AtMostOnce && request.ran > 0 {
		m.violate("request %d has run although its client was told that it has not", i)
	}
}

// explore explores every sequence of events up to the depth. It returns the number of states and the first violation, if any.
func (m *model) explore(depth int) (states int, violation string) {
	frontier := []world{m.first()}
	seen := map[world]bool{frontier[0]: true}
	for range depth {
		var reached []world
		for _, w := range frontier {
			for _, successor := range m.next(w) {
				if m.violation != "" {
					return len(seen), m.violation
				}
				if !seen[successor] {
					seen[successor] = true
					reached = append(reached, successor)
				}
			}
		}
		frontier = reached
	}
	return len(seen), ""
}

// repeatabilityPairs returns the combinations of repeatabilities of the two requests.
func repeatabilityPairs() [][modelRequests]Repeatability {
	var pairs [][modelRequests]Repeatability
	for _, first := range []Repeatability{AtMostOnce, Idempotent, Resumable} {
		for _, second := range []Repeatability{AtMostOnce, Idempotent} {
			pairs = append(pairs, [modelRequests]Repeatability{first, second})
		}
	}
	return pairs
}

// Whatever happens on the connection, a response reaches only its own request, a request that must not run twice is not sent again
// after it may have run, and no broken response is forwarded as a success.
func TestNoSequenceOfEventsViolatesARule(t *testing.T) {
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
		t.Fatalf("the model explores only %d states", total)
	}
}

// bugs contains faults to inject into the rules. The model must find each of them.
var bugs = map[string]func(*rules){
	"a partly sent request counts as unsent": func(r *rules) {
		r.outcome = func(x Exchange) Outcome {
			if x.written == WrittenSome && x.stage == Broken {
				return Unsent
			}
			return OutcomeOf(x)
		}
	},
	"a connection is reused while the request body is still being written": func(r *rules) {
		r.reusable = func(x Exchange) bool {
			x.written = WrittenAll
			return x.IsReusable()
		}
	},
	"a connection that the host closes is reused": func(r *rules) {
		r.reusable = func(x Exchange) bool {
			x.head.Closing = false
			return x.IsReusable()
		}
	},
	"a connection is reused after a response without a length": func(r *rules) {
		r.reusable = func(x Exchange) bool {
			x.head.Framing = FramedByItself
			return x.IsReusable()
		}
	},
	"a response to an earlier request is accepted": func(r *rules) {
		r.receive = func(x *Exchange, head Head) Verdict {
			if head.Owner == OwnerEarlier {
				head.Owner = OwnerOwn
			}
			return x.ReceiveHead(head)
		}
	},
	"a response to no request is accepted": func(r *rules) {
		r.receive = func(x *Exchange, head Head) Verdict {
			if head.Owner == OwnerNone {
				head.Owner = OwnerOwn
			}
			return x.ReceiveHead(head)
		}
	},
	"an incomplete response counts as complete": func(r *rules) {
		r.lost = func(x *Exchange) { x.End() }
	},
	"a successful response without a seal is accepted": func(r *rules) {
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
	"a promise is forwarded without proof": func(r *rules) {
		r.mayForward = func(Attempts, Head) bool { return true }
	},
	"a request that may run at most once is retried after an uncertain outcome": func(r *rules) {
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

// The model finds each bug that is injected into the rules.
func TestModelFindsEachBug(t *testing.T) {
	for name, inject := range bugs {
		t.Run(name, func(t *testing.T) {
			found := ""
			for _, repeatabilities := range repeatabilityPairs() {
				m := &model{rules: soundRules(), repeatabilities: repeatabilities}
				inject(&m.rules)
				if _, found = m.explore(modelDepth); found != "" {
					break
				}
			}
			if found == "" {
				t.Fatal("the model did not find the bug")
			}
			t.Log(found)
		})
	}
}
