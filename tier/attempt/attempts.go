package attempt

// Repeatability tells how often a request may run.
type Repeatability uint8

// The repeatabilities.
const (
	AtMostOnce Repeatability = iota // a retry must not be able to run it again
	Idempotent                      // may run more than once
	Resumable                       // may run more than once, each run going on behind the last event of the one before
)

// MaxRefusals is how many hosts may reject a request, or be out of reach, before it is refused.
const MaxRefusals = 4

// Outcome is how an attempt at a host ended.
type Outcome uint8

// The outcomes.
const (
	Unsent    Outcome = iota // no byte reached the host
	Refused                  // the host proved that it did not run the request
	Uncertain                // the request may have run, and no complete response came
	Answered                 // the response came complete
)

// OutcomeOf is that of an exchange that is over.
func OutcomeOf(x Exchange) Outcome {
	switch {
	case x.IsRefused():
		return Refused
	case !x.MayHaveRun():
		return Unsent
	case x.IsComplete():
		return Answered
	default:
		return Uncertain
	}
}

// Step is what follows an attempt.
type Step uint8

// The steps.
const (
	Forward Step = iota // the client gets the host's response
	Retry               // the request may be sent to another host
	Refuse              // the client gets a response that promises that the request has not run
	Fail                // the client gets a response that promises nothing
	Abort               // the client has part of a response, which must not look complete
)

// Attempts counts the attempts of one request over its whole life. Its zero value is not ready; use NewAttempts.
type Attempts struct {
	repeatability     Repeatability
	remainingRuns     int // how many more hosts may run the request
	remainingRefusals int // how many more hosts may reject it
	mayHaveRun        bool
	started           bool // the client has part of a response
	resumePointKnown  bool // the stream can go on behind its last event
}

// NewAttempts begins the life of a request that at most maxAttempts hosts may run.
func NewAttempts(repeatability Repeatability, maxAttempts int) Attempts {
	runs := max(maxAttempts, 1)
	if repeatability == AtMostOnce {
		runs = 1
	}
	return Attempts{repeatability: repeatability, remainingRuns: runs, remainingRefusals: MaxRefusals}
}

// CanAttempt tells whether the request may be sent to a further host.
func (a *Attempts) CanAttempt() bool {
	return a.remainingRuns > 0 && a.remainingRefusals > 0 && (!a.mayHaveRun || a.repeatability != AtMostOnce) && (!a.started || a.resumePointKnown)
}

// IsLast tells whether no host may run the request after the attempt that is due.
func (a *Attempts) IsLast() bool { return a.remainingRuns <= 1 }

// ResponseStarted notes that the client has part of a response, and whether it is known behind which event another host can go on.
func (a *Attempts) ResponseStarted(resumePointKnown bool) {
	a.started = true
	a.resumePointKnown = resumePointKnown && a.repeatability == Resumable
}

// Next counts an attempt that is over and says what follows.
func (a *Attempts) Next(outcome Outcome) Step {
	switch outcome {
	case Answered:
		a.mayHaveRun = true
		return Forward
	case Uncertain:
		a.mayHaveRun = true
		a.remainingRuns--
	case Refused, Unsent:
		a.remainingRefusals--
	}
	if a.CanAttempt() {
		return Retry
	}
	return a.FinalStep()
}

// FinalStep is how the request ends if no further host is asked.
func (a *Attempts) FinalStep() Step {
	switch {
	case a.started:
		return Abort
	case a.mayHaveRun && a.repeatability != Idempotent:
		return Fail
	default:
		return Refuse
	}
}

// MayForward tells whether a host's own response may be forwarded. A status that promises that the request has not run may not, for
// a request that must not run twice, unless the host proves it.
func (a *Attempts) MayForward(head Head) bool {
	return a.repeatability != AtMostOnce || head.IsRefusal() || !PromisesNotExecuted(head.Status)
}
