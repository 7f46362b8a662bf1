package controlclient

import "otterseam/tier/codec"

// InSyncChange asks to add a replica to a shard's in-sync set or to remove one from it.
type InSyncChange struct {
	Shard   uint32
	Epoch   uint64 // epoch of the view that the change is based on
	Replica uint64
	Admit   bool // add the replica; otherwise remove it
}

// Encode returns the encoded message.
func (c InSyncChange) Encode() []byte {
	var e codec.Encoder
	e.Uint32(c.Shard)
	e.Uint64(c.Epoch)
	e.Uint64(c.Replica)
	e.Bool(c.Admit)
	return e.Bytes
}

// DecodeInSyncChange decodes the message.
func DecodeInSyncChange(data []byte) (InSyncChange, error) {
	d := codec.NewDecoder(data)
	c := InSyncChange{Shard: d.Uint32(), Epoch: d.Uint64(), Replica: d.Uint64(), Admit: d.Bool()}
	return c, d.Err()
}
