package statemachine

// Code is the outcome of a command.
type Code uint8

// The codes of replies. With any code except Done the command has changed nothing.
const (
	Done            Code = iota
	LeaseExpired         // the holder's lease has expired
	UnknownSession       // the session doesn't exist or has expired
	ResultDiscarded      // the reply was discarded after the client had acknowledged it
	MarkerHeld           // AcquireMarker: another delivery of the invocation has already begun
	Invalid              // the command is malformed, or not allowed in this state
)

// String returns the name of the code in reports.
func (c Code) String() string {
	return [...]string{"done", "gone", "no session", "passed", "known", "bad"}[c]
}

// Reply is the result of a command.
type Reply struct {
	Code         Code            `cbor:"1,keyasint,omitempty"`
	Total        float64         `cbor:"2,keyasint,omitempty"` // of the counter
	HolderTotal  float64         `cbor:"3,keyasint,omitempty"` // what the holder has added to the counter in total
	Clock        float64         `cbor:"4,keyasint,omitempty"` // of the group, in seconds since its bootstrap
	MarkerHolder string          `cbor:"5,keyasint,omitempty"` // AcquireMarker: the holder of the marker before this command
	Usage        []CustomerUsage `cbor:"6,keyasint,omitempty"` // CollectUsage
	Batch        uint64          `cbor:"7,keyasint,omitempty"` // CollectUsage: number of the batch; with Invalid that of the last batch
}

// CustomerUsage is the metered usage of one customer.
type CustomerUsage struct {
	Customer string  `cbor:"1,keyasint"`
	Units    float64 `cbor:"2,keyasint"`
}
