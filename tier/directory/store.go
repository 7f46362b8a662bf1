package directory

import (
	"strconv"

	"otterseam/tier/codec"
)

// Store is a store process in one incarnation. Its identity belongs to its disk, its incarnation to the process. The JSON keys are
// those that operators read.
type Store struct {
	Identity    uint64
	Incarnation uint64 `json:"Boot"`
	Node        string // the machine's name
	Address     string
	Zone        string
}

// Encode is the store's form in a feed.
func (s Store) Encode() []byte {
	var e codec.Encoder
	e.Uint64(s.Identity)
	e.Uint64(s.Incarnation)
	e.String(s.Node)
	e.String(s.Address)
	e.String(s.Zone)
	return e.Bytes
}

// DecodeStore reads a store.
func DecodeStore(data []byte) (Store, error) {
	d := codec.NewDecoder(data)
	s := Store{Identity: d.Uint64(), Incarnation: d.Uint64(), Node: d.String(), Address: d.String(), Zone: d.String()}
	return s, d.Err()
}

// StoreKey is the store's key in its section.
func StoreKey(identity uint64) string { return strconv.FormatUint(identity, 16) }
