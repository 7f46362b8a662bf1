package directory

import (
	"hash/crc32"
	"strconv"

	"otterseam/tier/codec"
	"otterseam/tier/replica"
)

// Shard describes a group of programs and the stores that hold its replicas. Operators read its JSON form.
type Shard struct {
	ID uint32
	// Total is the number of all shards. With it, a program is not mapped to a wrong shard by a view that is still incomplete.
	Total uint32
	View  replica.View
	// PrimaryIncarnation is the incarnation of the primary store in which it may act as primary.
	PrimaryIncarnation uint64 `json:"PrimaryBoot"`
}

// Encode returns the shard in its feed form, which leaves out the learners of the view.
func (s Shard) Encode() []byte {
	var e codec.Encoder
	e.Uint32(s.ID)
	e.Uint32(s.Total)
	e.Uint64(s.View.Epoch)
	e.Uint64(s.View.Primary)
	e.Uint64(s.PrimaryIncarnation)
	e.Uint64s(s.View.InSync)
	e.Uint64s(s.View.Replicas)
	e.Uint32(uint32(s.View.MinInSync))
	return e.Bytes
}

// DecodeShard decodes a shard.
func DecodeShard(data []byte) (Shard, error) {
	d := codec.NewDecoder(data)
	s := Shard{ID: d.Uint32(), Total: d.Uint32()}
	s.View.Epoch = d.Uint64()
	s.View.Primary = d.Uint64()
	s.PrimaryIncarnation = d.Uint64()
	s.View.InSync = d.Uint64s()
	s.View.Replicas = d.Uint64s()
	s.View.MinInSync = int(d.Uint32())
	return s, d.Err()
}

// ShardKey returns a shard's key in the shard section of a feed.
func ShardKey(id uint32) string { return strconv.FormatUint(uint64(id), 10) }

// ShardOfProgram returns the shard of a program and whether the map contains it. The total number of shards is read from any shard of
// the map.
func ShardOfProgram(program string, shards map[uint32]Shard) (Shard, bool) {
	for _, anyShard := range shards {
		shard, found := shards[crc32.ChecksumIEEE([]byte(program))%max(anyShard.Total, 1)]
		return shard, found
	}
	return Shard{}, false
}
