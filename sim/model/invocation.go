package model

// Invocation is a client asking an api gateway once for a request.
type Invocation struct {
	Ref         string // 16 hex digits, unlike any other's
	Number      uint64
	Request     *Request
	Gateway     int
	SentAt      float64 // by its client
	GiveUpAt    float64
	ClientRetry bool // marked as a retry by its client
	Accepted    bool // the api gateway's machine has all of it
	Outcome     Outcome
	Attempts    []*Attempt
	Charged     bool // its units were taken from the customer's quota
}

// Attempt is one sending of an invocation to a host.
type Attempt struct {
	Invocation *Invocation
	Number     int // among the attempts of the invocation
	Host       int
	SentAt     float64

	Ended              bool // the api gateway has its outcome, or is gone
	ReachedHost        bool // all of it is at the host
	Written            bool // its last byte has left the api gateway
	ProvenNotRun       bool // its outcome proves that it never ran
	Started            bool // the host has begun to run it
	CountsAgainstQuota bool // it is one of the attempts in flight that the customer's quota counts
}
