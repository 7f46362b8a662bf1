package model

// Invocation is one call of a client to an api gateway for a request.
type Invocation struct {
	Ref         string // 16 hex digits, unique
	Number      uint64
	Request     *Request
	Gateway     int
	SentAt      float64 // by its client
	GiveUpAt    float64
	ClientRetry bool // marked as a retry by its client
	Accepted    bool // the api gateway has received it in full
	Outcome     Outcome
	Attempts    []*Attempt
	Charged     bool // its units were charged to the customer's quota
}

// Attempt is one transmission of an invocation to a host.
type Attempt struct {
	Invocation *Invocation
	Number     int // among the attempts of the invocation
	Host       int
	SentAt     float64

	Ended              bool // the api gateway has its outcome, or has stopped
	ReachedHost        bool // it has arrived at the host in full
	Written            bool // the api gateway has written all of it
	ProvenNotRun       bool // its outcome proves that it never ran
	Started            bool // the host has begun to run it
	CountsAgainstQuota bool // it counts as in flight for the customer's concurrency limit
}
