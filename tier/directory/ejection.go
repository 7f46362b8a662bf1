package directory

import "otterseam/tier/codec"

// EncodeEjectionDuration is the form in a feed of the duration, in milliseconds, for which a host is ejected. The key of the item is
// the host's ID.
func EncodeEjectionDuration(ms int64) []byte {
	var e codec.Encoder
	e.Int64(ms)
	return e.Bytes
}

// DecodeEjectionDuration reads a duration in milliseconds.
func DecodeEjectionDuration(data []byte) (int64, error) {
	d := codec.NewDecoder(data)
	ms := d.Int64()
	return ms, d.Err()
}
