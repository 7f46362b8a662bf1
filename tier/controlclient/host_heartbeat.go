package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/directory"
)

// HostHeartbeat is a host's heartbeat as a backup forwards it to the primary.
type HostHeartbeat struct {
	Host directory.Host
	Seq  uint64 // sequence number of the host; a heartbeat with a lower number than one already accepted is rejected
}

// Encode returns the encoded message.
func (h HostHeartbeat) Encode() []byte {
	var e codec.Encoder
	e.Blob(h.Host.Encode())
	e.Uint64(h.Seq)
	return e.Bytes
}

// DecodeHostHeartbeat decodes the message.
func DecodeHostHeartbeat(data []byte) (HostHeartbeat, error) {
	d := codec.NewDecoder(data)
	host, err := directory.DecodeHost(d.Blob())
	h := HostHeartbeat{Host: host, Seq: d.Uint64()}
	if err == nil {
		err = d.Err()
	}
	return h, err
}
