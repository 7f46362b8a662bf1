package store

import (
	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// KindProgram is a call with a ProgramRequest. Gateways send it. The store that is primary of the shard answers with the code of the
// command's result and an encoded programs.Result.
const KindProgram rpc.Kind = 40

// ProgramRequest requests the execution of a command of package programs on a shard.
type ProgramRequest struct {
	Shard   uint32
	Command []byte // encoded command
}

// Encode returns the wire format of the request.
func (r ProgramRequest) Encode() []byte {
	var e codec.Encoder
	e.Uint32(r.Shard)
	e.Bytes = append(e.Bytes, r.Command...)
	return e.Bytes
}

// DecodeProgramRequest decodes a request. The command shares the message's memory.
func DecodeProgramRequest(message []byte) (ProgramRequest, error) {
	d := codec.NewDecoder(message)
	r := ProgramRequest{Shard: d.Uint32()}
	r.Command = d.Rest()
	return r, d.Err()
}
