package attempt

// Repeatability states whether a request may run more than once.
type Repeatability uint8

// Repeatability values.
const (
	AtMostOnce Repeatability = iota // a retry must not be able to run the request again
	Idempotent                      // the request may run more than once
	Resumable                       // the request may run more than once, and each run continues after the last event of the previous one
)

// MaxRefusals is the number of hosts that may reject a request or be unreachable before the request is refused.
const MaxRefusals = 4

// Outcome is the result of an attempt at a host.
type Outcome uint8

// Outcomes of an attempt.
const (
	Unsent    Outcome = iota // no byte of the request was sent to the host
	Refused                  // the host proved that it did not run the request
	Uncertain                // the request may have run, and no complete response was received
	Answered                 // a complete response was received
)

// OutcomeOf returns the outcome of an exchange that has ended.
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

// Step is the next step after an attempt.
type Step uint8

// Steps after an attempt.
const (
	Forward Step = iota // the client gets the host's response
	Retry               // the request may be sent to another host
	Refuse              // the client gets a response that promises that the request has not run
	Fail                // the client gets a response that promises nothing
	Abort               // the client has part of a response, which must not look complete
)

// Attempts is the state of one request over all its attempts. The zero value is not usable; use NewAttempts.
type Attempts struct {
	repeatability     Repeatability
	remainingRuns     int // how many more hosts may run the request
	remainingRefusals int // how many more hosts may reject the request
	mayHaveRun        bool
	started           bool // the client has received part of a response
	resumePointKnown  bool // another host can continue the stream after its last event
}

// NewAttempts returns the state of a request before its first attempt. At most maxAttempts hosts may run the request.
func NewAttempts(repeatability Repeatability, maxAttempts int) Attempts {
	runs := max(maxAttempts, 1)
	if repeatability == AtMostOnce {
		runs = 1
	}
	return Attempts{repeatability: repeatability, remainingRuns: runs, remainingRefusals: MaxRefusals}
}

// CanAttempt reports whether the request may be sent to another host.
func (a *Attempts) CanAttempt() bool {
	return a.remainingRuns > 0 && a.remainingRefusals > 0 && (!a.mayHaveRun || a.repeatability != AtMostOnce) && (!a.started || a.resumePointKnown)
}

// IsLast reports whether no host may run the request after the next attempt.
func (a *Attempts) IsLast() bool { return a.remainingRuns <= 1 }

// ResponseStarted records that the client has received part of a response, and whether the event after which another host can
// continue is known.
func (a *Attempts) ResponseStarted(resumePointKnown bool) {
	a.started = true
	a.resumePointKnown = resumePointKnown && a.repeatability == Resumable
}

// Next records the outcome of an attempt and returns the next step.
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

// FinalStep returns the step that ends the request without another attempt.
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

// MayForward reports whether the response of a host may be forwarded to the client. For a request that must not run twice, a response
// whose status promises that the request has not run is forwarded only if the host proves it.
func (a *Attempts) MayForward(head Head) bool {
	return a.repeatability != AtMostOnce || head.IsRefusal() || !PromisesNotExecuted(head.Status)
}
