package store

import (
	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// KindProgram is a call with a ProgramRequest. Gateways send it. The store that is primary of the shard answers with the code of the
// command's result and an encoded programs.Result.
const KindProgram rpc.Kind = 40

// KindRetainedUsage is a one-way message with a RetainedUsage, from a replica to the primaries of its shards.
const KindRetainedUsage rpc.Kind = 44

// RetainedUsage is the memory that the retained turns of a store take, in bytes.
type RetainedUsage struct {
	Store uint64 // identity
	Bytes uint64
}

// Encode returns the wire format of the message.
func (u RetainedUsage) Encode() []byte {
	var e codec.Encoder
	e.Uint64(u.Store)
	e.Uint64(u.Bytes)
	return e.Bytes
}

// DecodeRetainedUsage decodes a message.
func DecodeRetainedUsage(message []byte) (RetainedUsage, error) {
	d := codec.NewDecoder(message)
	u := RetainedUsage{Store: d.Uint64(), Bytes: d.Uint64()}
	return u, d.Err()
}

// ProgramRequest requests the execution of a command of package programs on a shard.
type ProgramRequest struct {
	Shard   uint32
	Command []byte // encoded command
}

// shardBytes is the encoded size of the shard.
const shardBytes = 4

// Encode returns the wire format of the request.
func (r ProgramRequest) Encode() []byte {
	e := codec.Encoder{Bytes: make([]byte, 0, shardBytes+len(r.Command))}
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
