// Package statemachine is what api gateways hold for each other, as a pure machine: entries in their order go in, the same state and
// the same bytes come out at every copy. Time is what the entries carry. It must never read a clock, draw a chance, do I/O,
// or let the order of a map show in a result.
package statemachine

// Kind is what an entry asks for.
type Kind uint8

const (
	Tick              Kind = iota // only the clock goes on
	OpenSession                   // a session begins, under a name that is never used again
	Add                           // an amount is added to a name; its session makes it once
	ReportUsage                   // what a holder has added to a name in all is now so much; its order makes it once
	RenewLease                    // a holder is there
	RecordUnreported              // what a holder wants added to a name in all, put back or not; kept apart from the name
	RecoverUnreported             // a holder is gone: what it owed for a name is added, once
	ClearUnreported               // a holder's debt for a name is put back
	AcquireMarker                 // a delivery of an invocation that must not run twice is about to begin
	ReleaseMarker                 // it never ran
	MeterUsage                    // what a holder has counted for a customer in all
	CollectUsage                  // a batch of use is handed out; the next number says that the one before was taken over
	kindCount
)

func (k Kind) String() string {
	return [...]string{"tick", "open", "add", "put", "renew", "owe", "close", "paid", "mark", "unmark", "use", "take"}[k]
}

// Entry is one thing that is asked for. Numbers stand for names in its encoded form.
type Command struct {
	Kind       Kind    `cbor:"1,keyasint"`
	Session    string  `cbor:"2,keyasint,omitempty"` // whose, with Number, it is; what has no session may be repeated
	Sequence   uint64  `cbor:"3,keyasint,omitempty"`
	AckedBelow uint64  `cbor:"4,keyasint,omitempty"`  // below this number no answer is wanted any more
	Key        string  `cbor:"5,keyasint,omitempty"`  // count, customer or invocation
	Amount     float64 `cbor:"6,keyasint,omitempty"`  // Add: added. Put, Owe, Close, Use: in all
	TTL        float64 `cbor:"7,keyasint,omitempty"`  // seconds: of a new name, a mark, a holder
	Holder     string  `cbor:"8,keyasint,omitempty"`  // one life of one api gateway
	Version    uint64  `cbor:"9,keyasint,omitempty"`  // Put, Owe, Use: a later one has a higher one. Take: the batch. Paid: of the debt
	Reserved   float64 `cbor:"10,keyasint,omitempty"` // Put: the part of Amount that goes back when the holder dies
	Scope      string  `cbor:"11,keyasint,omitempty"` // Mark: where a repeat is harmless; "": nowhere
	Clock      float64 `cbor:"12,keyasint,omitempty"` // Open: the group's clock as the caller last heard it
}

// Batch is what one place of the log holds.
type Batch struct {
	Clock    float64   `cbor:"1,keyasint"` // of the group, in seconds since it was founded
	Commands []Command `cbor:"2,keyasint,omitempty"`
	Proposer uint64    `cbor:"3,keyasint,omitempty"` // the copy that put it there, which answers
	Sequence uint64    `cbor:"4,keyasint,omitempty"` // of its batches
}

// Code is what became of an entry.
type Code uint8

const (
	Done            Code = iota
	LeaseExpired         // its holder was given up: nothing was changed
	UnknownSession       // its session is not known: nothing was changed
	ResultDiscarded      // its session's answer was let go of: nothing was changed now
	MarkerHeld           // Mark: somebody else's delivery of it has begun
	Invalid              // it makes no sense: nothing was changed
)

func (c Code) String() string {
	return [...]string{"done", "gone", "no session", "passed", "known", "bad"}[c]
}

// Reply answers an entry.
type Reply struct {
	Code         Code            `cbor:"1,keyasint,omitempty"`
	Total        float64         `cbor:"2,keyasint,omitempty"` // of the name
	HolderTotal  float64         `cbor:"3,keyasint,omitempty"` // what the holder has added to it in all
	Clock        float64         `cbor:"4,keyasint,omitempty"`
	MarkerHolder string          `cbor:"5,keyasint,omitempty"` // Known: whose delivery
	Usage        []CustomerUsage `cbor:"6,keyasint,omitempty"` // Take
	Batch        uint64          `cbor:"7,keyasint,omitempty"`
}

// Used is what a customer has used.
type CustomerUsage struct {
	Customer string  `cbor:"1,keyasint"`
	Units    float64 `cbor:"2,keyasint"`
}

// Debt is what a dead holder wanted added to a name.
type UnreportedUsage struct {
	Holder, Key string
	Amount      float64 // in all
	TTL         float64 // of the name, seconds from now
	Version     uint64
}
