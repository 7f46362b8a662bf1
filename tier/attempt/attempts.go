package attempt

// Kind tells how often a request may run.
type Kind uint8

// The kinds of requests.
const (
	Once       Kind = iota // at most once
	Repeatable             // more than once
	Resumable              // more than once, each run going on behind the last event of the one before
)

// MaxRefusals is how many hosts may turn a request away, or be out of reach, before it is refused.
const MaxRefusals = 4

// Outcome is how an attempt at a host ended.
type Outcome uint8

// The outcomes.
const (
	Unsent    Outcome = iota // no byte reached the host
	Refused                  // the host proved that it did not run the request
	Uncertain                // the request may have run, and no whole answer came
	Answered                 // the answer came whole
)

// OutcomeOf is that of an exchange that is over.
func OutcomeOf(x Exchange) Outcome {
	switch {
	case x.Refused():
		return Refused
	case !x.MayHaveRun():
		return Unsent
	case x.Whole():
		return Answered
	default:
		return Uncertain
	}
}

// Step is what follows an attempt.
type Step uint8

// The steps.
const (
	PassOn    Step = iota // the client gets the host's answer
	Elsewhere             // the request may be sent to another host
	Refuse                // the client gets an answer that promises that the request has not run
	Fail                  // the client gets an answer that promises nothing
	CutOff                // the client has part of an answer, which must not look complete
)

// Attempts counts the attempts of one request over its whole life. Its zero value is not ready; use NewAttempts.
type Attempts struct {
	kind       Kind
	runs       int // how many more hosts may run the request
	refusals   int // how many more hosts may turn it away
	mayHaveRun bool
	started    bool // the client has part of an answer
	resumable  bool // it is known behind which event to go on
}

// NewAttempts begins the life of a request that at most maxAttempts hosts may run.
func NewAttempts(kind Kind, maxAttempts int) Attempts {
	runs := max(maxAttempts, 1)
	if kind == Once {
		runs = 1
	}
	return Attempts{kind: kind, runs: runs, refusals: MaxRefusals}
}

// May tells whether the request may be sent to a further host.
func (a *Attempts) May() bool {
	return a.runs > 0 && a.refusals > 0 && !(a.mayHaveRun && a.kind == Once) && (!a.started || a.resumable)
}

// Last tells whether no host may run the request after the attempt that is due.
func (a *Attempts) Last() bool { return a.runs <= 1 }

// Started notes that the client has part of an answer, and whether it is known behind which event another host can go on.
func (a *Attempts) Started(known bool) {
	a.started = true
	a.resumable = known && a.kind == Resumable
}

// After counts an attempt that is over and says what follows.
func (a *Attempts) After(outcome Outcome) Step {
	switch outcome {
	case Answered:
		a.mayHaveRun = true
		return PassOn
	case Uncertain:
		a.mayHaveRun = true
		a.runs--
	case Refused, Unsent:
		a.refusals--
	}
	if a.May() {
		return Elsewhere
	}
	return a.GiveUp()
}

// GiveUp is how the request ends if no further host is asked.
func (a *Attempts) GiveUp() Step {
	switch {
	case a.started:
		return CutOff
	case a.mayHaveRun && a.kind != Repeatable:
		return Fail
	default:
		return Refuse
	}
}

// Passable tells whether a host's own answer may be passed on. A status that promises that the request has not run may not, for
// a request that must not run twice, unless the host proves it.
func (a *Attempts) Passable(head Head) bool {
	return a.kind != Once || head.Refusal() || !Promise(head.Status)
}
