package statemachine

// Kind is what a command asks for.
type Kind uint8

// The kinds of commands.
const (
	Tick              Kind = iota // only the group's clock goes on
	OpenSession                   // a session begins, under a name that is never used again
	Add                           // an amount is added to a counter; its session makes it once
	ReportUsage                   // what a holder has added to a counter in total is now so much; its version makes it once
	RenewLease                    // a holder is alive
	RecordUnreported              // what a holder wants added to a counter in total, reported or not; kept apart from the counter
	RecoverUnreported             // a holder's lease has expired: what it had not reported to a counter is added, once
	ClearUnreported               // a holder's unreported usage of a counter is recovered
	AcquireMarker                 // a delivery of an invocation that must not run twice is about to begin
	ReleaseMarker                 // that delivery never ran
	MeterUsage                    // what a holder has counted for a customer in total, for billing
	CollectUsage                  // a batch of metered usage is handed out; the next number says that the one before was taken over
	kindCount
)

// String gives the name under which reports and recordings know a kind.
func (k Kind) String() string {
	return [...]string{"tick", "open", "add", "put", "renew", "owe", "close", "paid", "mark", "unmark", "use", "take"}[k]
}

// Limits of a command, in bytes.
const (
	maxKeyLength    = 256
	maxHolderLength = 128
)

// Command is one thing that is asked of a group.
type Command struct {
	Kind       Kind    `cbor:"1,keyasint"`
	Session    string  `cbor:"2,keyasint,omitempty"`  // with Sequence it identifies the command; "": the command may be repeated
	Sequence   uint64  `cbor:"3,keyasint,omitempty"`  // number of the command in its session
	AckedBelow uint64  `cbor:"4,keyasint,omitempty"`  // no reply with a lower sequence is wanted any more
	Key        string  `cbor:"5,keyasint,omitempty"`  // of a counter, a customer or an invocation
	Amount     float64 `cbor:"6,keyasint,omitempty"`  // Add: the difference. ReportUsage, RecordUnreported, RecoverUnreported, MeterUsage: the total
	TTL        float64 `cbor:"7,keyasint,omitempty"`  // time to live of a new counter, a marker or a lease, in seconds
	Holder     string  `cbor:"8,keyasint,omitempty"`  // one incarnation of one API gateway
	Version    uint64  `cbor:"9,keyasint,omitempty"`  // ReportUsage, RecordUnreported, MeterUsage: grows with each. CollectUsage: the batch. ClearUnreported: of what is cleared
	Reserved   float64 `cbor:"10,keyasint,omitempty"` // ReportUsage: the part of Amount that is given back when the holder's lease expires
	Scope      string  `cbor:"11,keyasint,omitempty"` // AcquireMarker: where a repeat is harmless; "": nowhere
	Clock      float64 `cbor:"12,keyasint,omitempty"` // OpenSession: the group's clock as the client last heard it
}

// malformed reports whether a command can't be executed whatever the state is.
func (c *Command) malformed() bool {
	if c.Kind >= kindCount || len(c.Key) > maxKeyLength || len(c.Holder) > maxHolderLength {
		return true
	}
	return notFinite(c.Amount) || notFinite(c.Reserved) || notFinite(c.TTL)
}

// Batch is the content of one entry of the log.
type Batch struct {
	Clock    float64   `cbor:"1,keyasint"` // of the group, in seconds since its bootstrap
	Commands []Command `cbor:"2,keyasint,omitempty"`
	Proposer uint64    `cbor:"3,keyasint,omitempty"` // ID of the replica that proposed it, which replies to its clients
	Sequence uint64    `cbor:"4,keyasint,omitempty"` // number among the proposer's batches
}
