package policy

// stage is the stage of an invocation's processing.
type stage int

const (
	stageNew       stage = iota // not admitted yet
	stageCounting               // its call to the counter is in flight
	stageThrottled              // over the quota; its final answer is due
	stageQueued                 // waiting for a host
	stageSent                   // an attempt is in flight
	stageFinished               // has its final answer
)

// Invocation is one client request, from its arrival to its final answer and the end of its last attempt.
type Invocation struct {
	Ref        string
	Attempts   []*Attempt
	operation  *operation
	customer   *customer
	units      float64 // estimated
	quotaUnits float64 // units that count against the quota on the rate; 0 if the plan has none
	retryAfter float64 // s until the client should retry; 0: not throttled
	arrivedAt  float64
	targetAt   float64 // clock time of arrival plus the latency target
	deadline   float64 // clock time at which the client gives up

	stage       stage
	clientRetry bool  // marked by the client as a retry
	reserved    bool  // units and an open slot of the customer are reserved for it
	inFlight    int   // number of attempts in flight
	host        *Host // chosen by Next for the next attempt

	// unprovenAttempt is the first attempt that may have run; nil: nothing has run.
	unprovenAttempt *Attempt
}

// Finished reports whether the invocation has its final answer and no attempt in flight.
func (inv *Invocation) Finished() bool { return inv.stage == stageFinished && inv.inFlight == 0 }

// Attempt is one attempt to have an invocation executed by a host.
type Attempt struct {
	Invocation    *Invocation
	Host          *Host
	Number        int // from 0
	sentAt        float64
	hostStartedAt float64 // start of the host's incarnation that was chosen
}

const (
	// An operation's initial mean and base latency are its latency target divided by these, until there are answers.
	initialMeanDivisor = 5
	initialBaseDivisor = 8
	// The latency target of an operation that is not configured is half of the time until the client's deadline.
	unknownTargetDivisor = 2
	unknownMeanDivisor   = unknownTargetDivisor * initialMeanDivisor
	unknownBaseDivisor   = unknownTargetDivisor * initialBaseDivisor
	unknownValue         = 1
)

// operation is an Operation with its measured latencies.
type operation struct {
	Operation
	meanLatency float64 // s; moving average over successful answers
	baseLatency float64 // s; estimate for hosts that are not overloaded
}

func newOperation(o Operation) *operation {
	return &operation{
		Operation:   o,
		meanLatency: o.LatencyTarget / initialMeanDivisor,
		baseLatency: o.LatencyTarget / initialBaseDivisor,
	}
}

// newUnknownOperation returns an operation that is not configured. It is treated as non-idempotent, the strictest kind. timeLeft
// is the time until its client's deadline, in seconds.
func newUnknownOperation(name string, timeLeft float64) *operation {
	return &operation{
		Operation: Operation{
			Name:          name,
			LatencyTarget: timeLeft / unknownTargetDivisor,
			Value:         unknownValue,
			Effect:        NonIdempotent,
		},
		meanLatency: timeLeft / unknownMeanDivisor,
		baseLatency: timeLeft / unknownBaseDivisor,
	}
}
