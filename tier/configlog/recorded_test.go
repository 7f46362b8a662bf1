package configlog

import (
	"testing"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/internal/recorded"
)

func TestRecordedLog(t *testing.T) {
	log := Log{
		accepted:  []acceptedChange{{version: 8, body: HashOf([]byte(`{"v":8}`))}, {version: 11, body: HashOf([]byte(`{"v":11}`))}},
		compacted: 7,
		rejected: []rejection{
			{change: Change{Base: 5, Version: 9, Body: HashOf([]byte(`{"v":9}`))}, result: codes.ConfigBase},
			{change: Change{Base: 8, Version: 6, Body: HashOf([]byte(`{"v":6}`))}, result: codes.ConfigInvalid},
		},
	}
	encode := func(l Log) []byte {
		var e codec.Encoder
		l.Encode(&e)
		return e.Bytes
	}
	decode := func(data []byte) (Log, error) {
		d := codec.NewDecoder(data)
		l := Decode(d)
		return l, d.Err()
	}
	recorded.CheckBoth(t, "log", log, encode, decode)
}
