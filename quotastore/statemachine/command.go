package statemachine

// Kind is the operation of a command.
type Kind uint8

// The kinds of commands.
const (
	Tick              Kind = iota // advances the group's clock and does nothing else
	OpenSession                   // opens a session, under a name that is never reused
	Add                           // adds an amount to a counter; the session makes it idempotent
	ReportUsage                   // sets the total that a holder has added to a counter; the version makes it idempotent
	RenewLease                    // extends a holder's lease
	RecordUnreported              // stores, apart from the counter, the total that a holder wants added to it, reported or not
	RecoverUnreported             // adds to a counter, once, what a holder had not reported when its lease expired
	ClearUnreported               // removes a holder's unreported usage of a counter after its recovery
	AcquireMarker                 // records that a delivery of an invocation that must not run twice is about to begin
	ReleaseMarker                 // removes the marker of a delivery that never ran
	MeterUsage                    // sets the total that a holder has counted for a customer, for billing
	CollectUsage                  // returns a batch of metered usage; the next batch number acknowledges the batch before
	kindCount
)

// String returns the name of the kind in reports and recordings.
func (k Kind) String() string {
	return [...]string{"tick", "open", "add", "put", "renew", "owe", "close", "paid", "mark", "unmark", "use", "take"}[k]
}

// Limits of a command, in bytes.
const (
	maxKeyLength    = 256
	maxHolderLength = 128
)

// Command is one operation on the state of a group.
type Command struct {
	Kind       Kind    `cbor:"1,keyasint"`
	Session    string  `cbor:"2,keyasint,omitempty"`  // identifies the command together with Sequence; "": the command is idempotent without a session
	Sequence   uint64  `cbor:"3,keyasint,omitempty"`  // number of the command in its session
	AckedBelow uint64  `cbor:"4,keyasint,omitempty"`  // the client waits for no reply with a lower sequence
	Key        string  `cbor:"5,keyasint,omitempty"`  // of a counter, a customer or an invocation
	Amount     float64 `cbor:"6,keyasint,omitempty"`  // Add: the difference. ReportUsage, RecordUnreported, RecoverUnreported, MeterUsage: the total
	TTL        float64 `cbor:"7,keyasint,omitempty"`  // time to live of a new counter, a marker or a lease, in seconds
	Holder     string  `cbor:"8,keyasint,omitempty"`  // one incarnation of one API gateway
	Version    uint64  `cbor:"9,keyasint,omitempty"`  // ReportUsage, RecordUnreported, MeterUsage: increases with each. CollectUsage: number of the batch. ClearUnreported: newest version that is removed
	Reserved   float64 `cbor:"10,keyasint,omitempty"` // ReportUsage: the part of Amount that is released when the holder's lease expires
	Scope      string  `cbor:"11,keyasint,omitempty"` // AcquireMarker: scope within which a repeated delivery is harmless; "": none
	Clock      float64 `cbor:"12,keyasint,omitempty"` // OpenSession: the group's clock as last read by the client
}

// malformed reports whether a command is invalid in every state.
func (c *Command) malformed() bool {
	if c.Kind >= kindCount || len(c.Key) > maxKeyLength || len(c.Holder) > maxHolderLength {
		return true
	}
	return notFinite(c.Amount) || notFinite(c.Reserved) || notFinite(c.TTL)
}

// Batch is the content of one log entry.
type Batch struct {
	Clock    float64   `cbor:"1,keyasint"` // of the group, in seconds since its bootstrap
	Commands []Command `cbor:"2,keyasint,omitempty"`
	Proposer uint64    `cbor:"3,keyasint,omitempty"` // ID of the replica that proposed the batch and sends the replies
	Sequence uint64    `cbor:"4,keyasint,omitempty"` // number among the proposer's batches
}
