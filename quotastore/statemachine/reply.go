package statemachine

// Code is what became of a command.
type Code uint8

// The codes of replies. But for Done, the command has changed nothing.
const (
	Done            Code = iota
	LeaseExpired         // its holder's lease has expired
	UnknownSession       // its session is not known
	ResultDiscarded      // its reply was discarded, as its session had said that it isn't wanted any more
	MarkerHeld           // AcquireMarker: another delivery of the invocation has begun
	Invalid              // it makes no sense
)

// String gives the name under which reports know a code.
func (c Code) String() string {
	return [...]string{"done", "gone", "no session", "passed", "known", "bad"}[c]
}

// Reply answers a command.
type Reply struct {
	Code         Code            `cbor:"1,keyasint,omitempty"`
	Total        float64         `cbor:"2,keyasint,omitempty"` // of the counter
	HolderTotal  float64         `cbor:"3,keyasint,omitempty"` // what the holder has added to it in total
	Clock        float64         `cbor:"4,keyasint,omitempty"` // of the group, in seconds since its bootstrap
	MarkerHolder string          `cbor:"5,keyasint,omitempty"` // AcquireMarker: the holder whose delivery has begun before
	Usage        []CustomerUsage `cbor:"6,keyasint,omitempty"` // CollectUsage
	Batch        uint64          `cbor:"7,keyasint,omitempty"` // CollectUsage: its number; with Invalid the one collected last
}

// CustomerUsage is what a customer has used.
type CustomerUsage struct {
	Customer string  `cbor:"1,keyasint"`
	Units    float64 `cbor:"2,keyasint"`
}
