package directory

import "otterseam/tier/codec"

// EncodeEjectionDuration encodes the duration in milliseconds for which a host is ejected, as a feed item's data. The item's key is
// the host's ID.
func EncodeEjectionDuration(ms int64) []byte {
	var e codec.Encoder
	e.Int64(ms)
	return e.Bytes
}

// DecodeEjectionDuration decodes an ejection duration in milliseconds.
func DecodeEjectionDuration(data []byte) (int64, error) {
	d := codec.NewDecoder(data)
	ms := d.Int64()
	return ms, d.Err()
}
