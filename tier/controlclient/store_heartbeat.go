package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/directory"
)

// StoreHeartbeat keeps a store's session, and registers a store that is new or was started again.
type StoreHeartbeat struct {
	Store   directory.Store
	Leaving bool // it is shutting down
}

// Encode is the message's form on the wire.
func (h StoreHeartbeat) Encode() []byte {
	var e codec.Encoder
	e.Blob(h.Store.Encode())
	e.Bool(h.Leaving)
	return e.Bytes
}

// DecodeStoreHeartbeat reads the message.
func DecodeStoreHeartbeat(data []byte) (StoreHeartbeat, error) {
	d := codec.NewDecoder(data)
	store, err := directory.DecodeStore(d.Blob())
	h := StoreHeartbeat{Store: store, Leaving: d.Bool()}
	if err == nil {
		err = d.Err()
	}
	return h, err
}
