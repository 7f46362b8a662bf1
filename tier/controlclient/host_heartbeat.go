package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/directory"
)

// HostHeartbeat is a host's heartbeat as one control process hands it to the primary.
type HostHeartbeat struct {
	Host directory.Host
	Seq  uint64 // counted by the host; an older one than already taken is rejected
}

// Encode is the message's form on the wire.
func (h HostHeartbeat) Encode() []byte {
	var e codec.Encoder
	e.Blob(h.Host.Encode())
	e.Uint64(h.Seq)
	return e.Bytes
}

// DecodeHostHeartbeat reads the message.
func DecodeHostHeartbeat(data []byte) (HostHeartbeat, error) {
	d := codec.NewDecoder(data)
	host, err := directory.DecodeHost(d.Blob())
	h := HostHeartbeat{Host: host, Seq: d.Uint64()}
	if err == nil {
		err = d.Err()
	}
	return h, err
}
