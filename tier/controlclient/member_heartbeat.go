package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/consensus"
	"otterseam/tier/replica"
)

// MemberHeartbeat renews a control process's session with the primary.
type MemberHeartbeat struct {
	Member             consensus.Member
	Leaving            bool              // whether the process is shutting down
	RejectedHeartbeats uint64            // number of host heartbeats that it rejected because it had no lease
	Echoed             replica.Timestamp // the newest probe of the primary that it has received
}

// Encode returns the encoded message.
func (h MemberHeartbeat) Encode() []byte {
	var e codec.Encoder
	e.Uint64(h.Member.ID)
	e.String(h.Member.Address)
	e.String(h.Member.Node)
	e.Bool(h.Leaving)
	e.Uint64(h.RejectedHeartbeats)
	h.Echoed.Encode(&e)
	return e.Bytes
}

// DecodeMemberHeartbeat decodes the message.
func DecodeMemberHeartbeat(data []byte) (MemberHeartbeat, error) {
	d := codec.NewDecoder(data)
	h := MemberHeartbeat{
		Member:  consensus.Member{ID: d.Uint64(), Address: d.String(), Node: d.String()},
		Leaving: d.Bool(), RejectedHeartbeats: d.Uint64(), Echoed: replica.DecodeTimestamp(d),
	}
	return h, d.Err()
}
