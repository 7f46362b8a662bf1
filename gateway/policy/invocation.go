package policy

// stage is how far an invocation has come.
type stage int

const (
	stageNew       stage = iota // to be admitted
	stageCounting               // its call to the counter is in flight
	stageThrottled              // over the quota; its final answer is due
	stageQueued                 // waits for a host
	stageSent                   // an attempt is in flight
	stageFinished               // has its final answer
)

// Invocation is one request of a client, from its arrival to its final answer and the end of its last attempt.
type Invocation struct {
	Ref        string
	Attempts   []*Attempt
	operation  *operation
	customer   *customer
	units      float64 // estimated
	quotaUnits float64 // units that count against the quota on the rate; 0 where the plan has none
	retryAfter float64 // s; when its client should come back; 0: it is not throttled
	arrivedAt  float64
	targetAt   float64 // its latency target ends
	deadline   float64 // its client gives up

	stage       stage
	clientRetry bool  // marked as a client's repeat
	reserved    bool  // it holds units and an open slot of its customer
	inFlight    int   // attempts
	host        *Host // chosen by Next for the next attempt

	// unprovenAttempt is the first attempt that is not proved to have never run; nil: nothing has run.
	unprovenAttempt *Attempt
}

// Finished says whether nothing more will happen to it.
func (inv *Invocation) Finished() bool { return inv.stage == stageFinished && inv.inFlight == 0 }

// Attempt is one delivery of an invocation to a host.
type Attempt struct {
	Invocation    *Invocation
	Host          *Host
	Number        int // from 0
	sentAt        float64
	hostStartedAt float64 // of the incarnation of the host that was chosen
}

const (
	// initialMeanDivisor and initialBaseDivisor give an operation's latencies, from its target, until answers tell them.
	initialMeanDivisor = 5
	initialBaseDivisor = 8
	// An operation that the settings don't name gets half of its client's time as its target.
	unknownTargetDivisor = 2
	unknownMeanDivisor   = unknownTargetDivisor * initialMeanDivisor
	unknownBaseDivisor   = unknownTargetDivisor * initialBaseDivisor
	unknownValue         = 1
)

// operation is an Operation with what its answers have told.
type operation struct {
	Operation
	meanLatency float64 // s; of good answers of late
	baseLatency float64 // s; of good answers of hosts that are not pressed
}

func newOperation(o Operation) *operation {
	return &operation{
		Operation:   o,
		meanLatency: o.LatencyTarget / initialMeanDivisor,
		baseLatency: o.LatencyTarget / initialBaseDivisor,
	}
}

// newUnknownOperation is taken as the strictest kind; timeLeft is what its client's deadline leaves, in seconds.
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
