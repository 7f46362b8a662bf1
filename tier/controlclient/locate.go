package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/consensus"
)

// LocateResponse answers KindLocate: who is at an address, and what it knows of the group.
type LocateResponse struct {
	ID         uint64
	Node       string // the machine's name
	Bootstraps bool   // the process was started to bootstrap the cluster
	Record     consensus.Record
}

// Encode is the message's form on the wire.
func (r LocateResponse) Encode() []byte {
	var e codec.Encoder
	e.Uint64(r.ID)
	e.String(r.Node)
	e.Bool(r.Bootstraps)
	consensus.EncodeRecord(&e, r.Record)
	return e.Bytes
}

// DecodeLocateResponse reads the message.
func DecodeLocateResponse(data []byte) (LocateResponse, error) {
	d := codec.NewDecoder(data)
	r := LocateResponse{ID: d.Uint64(), Node: d.String(), Bootstraps: d.Bool(), Record: consensus.DecodeRecord(d)}
	return r, d.Err()
}
