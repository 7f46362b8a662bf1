package controlclient

import (
	"otterseam/tier/codec"
	"otterseam/tier/directory"
)

// StoreHeartbeat renews a store's session and registers a store that is new or has restarted.
type StoreHeartbeat struct {
	Store   directory.Store
	Leaving bool // whether the store is shutting down
}

// Encode returns the encoded message.
func (h StoreHeartbeat) Encode() []byte {
	var e codec.Encoder
	e.Blob(h.Store.Encode())
	e.Bool(h.Leaving)
	return e.Bytes
}

// DecodeStoreHeartbeat decodes the message.
func DecodeStoreHeartbeat(data []byte) (StoreHeartbeat, error) {
	d := codec.NewDecoder(data)
	store, err := directory.DecodeStore(d.Blob())
	h := StoreHeartbeat{Store: store, Leaving: d.Bool()}
	if err == nil {
		err = d.Err()
	}
	return h, err
}
