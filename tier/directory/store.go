package directory

import (
	"strconv"

	"otterseam/tier/codec"
)

// Store describes one incarnation of a store process. The identity belongs to the disk, the incarnation to the process. Operators
// read its JSON form.
type Store struct {
	Identity    uint64
	Incarnation uint64 `json:"Boot"`
	Node        string // the machine's name
	Address     string
	Zone        string
}

// Encode returns the store in its feed form.
func (s Store) Encode() []byte {
	var e codec.Encoder
	e.Uint64(s.Identity)
	e.Uint64(s.Incarnation)
	e.String(s.Node)
	e.String(s.Address)
	e.String(s.Zone)
	return e.Bytes
}

// DecodeStore decodes a store.
func DecodeStore(data []byte) (Store, error) {
	d := codec.NewDecoder(data)
	s := Store{Identity: d.Uint64(), Incarnation: d.Uint64(), Node: d.String(), Address: d.String(), Zone: d.String()}
	return s, d.Err()
}

// StoreKey returns a store's key in the store section of a feed.
func StoreKey(identity uint64) string { return strconv.FormatUint(identity, 16) }
