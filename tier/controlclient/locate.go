package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/consensus"
)

// LocateResponse is the answer to KindLocate: the identity of the process at an address and the record that it knows.
type LocateResponse struct {
	ID         uint64
	Node       string // name of the machine
	Bootstraps bool   // whether the process was started to bootstrap the cluster
	Record     consensus.Record
}

// Encode returns the encoded message.
func (r LocateResponse) Encode() []byte {
	var e codec.Encoder
	e.Uint64(r.ID)
	e.String(r.Node)
	e.Bool(r.Bootstraps)
	consensus.EncodeRecord(&e, r.Record)
	return e.Bytes
}

// DecodeLocateResponse decodes the message.
func DecodeLocateResponse(data []byte) (LocateResponse, error) {
	d := codec.NewDecoder(data)
	r := LocateResponse{ID: d.Uint64(), Node: d.String(), Bootstraps: d.Bool(), Record: consensus.DecodeRecord(d)}
	return r, d.Err()
}
