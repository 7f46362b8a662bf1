package store

import (
	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// KindProgram is a call with a ProgramRequest. Sent by gateways; answered by the store that leads the shard with the code of the
// command's result and an encoded programs.Result.
const KindProgram rpc.Kind = 40

// ProgramRequest has a shard carry out a command of package programs.
type ProgramRequest struct {
	Shard   uint32
	Command []byte // encoded
}

// Encode is the request's form on the wire.
func (r ProgramRequest) Encode() []byte {
	var e codec.Encoder
	e.Uint32(r.Shard)
	e.Bytes = append(e.Bytes, r.Command...)
	return e.Bytes
}

// DecodeProgramRequest reads a request. The command shares the message's memory.
func DecodeProgramRequest(message []byte) (ProgramRequest, error) {
	d := codec.NewDecoder(message)
	r := ProgramRequest{Shard: d.Uint32()}
	r.Command = d.Rest()
	return r, d.Err()
}
