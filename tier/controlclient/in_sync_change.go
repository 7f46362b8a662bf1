package controlclient

import "otterseam/tier/codec"

// InSyncChange asks to take a replica into a shard's in-sync set or out of it.
type InSyncChange struct {
	Shard   uint32
	Epoch   uint64 // of the view that the change builds on
	Replica uint64
	Admit   bool // into the set; otherwise out of it
}

// Encode is the message's form on the wire.
func (c InSyncChange) Encode() []byte {
	var e codec.Encoder
	e.Uint32(c.Shard)
	e.Uint64(c.Epoch)
	e.Uint64(c.Replica)
	e.Bool(c.Admit)
	return e.Bytes
}

// DecodeInSyncChange reads the message.
func DecodeInSyncChange(data []byte) (InSyncChange, error) {
	d := codec.NewDecoder(data)
	c := InSyncChange{Shard: d.Uint32(), Epoch: d.Uint64(), Replica: d.Uint64(), Admit: d.Bool()}
	return c, d.Err()
}
