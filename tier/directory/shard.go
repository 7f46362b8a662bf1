package directory

import (
	"hash/crc32"
	"strconv"

	"otterseam/tier/codec"
	"otterseam/tier/replica"
)

// Shard is a group of programs and the stores that hold it. The JSON keys are those that operators read.
type Shard struct {
	ID uint32
	// Total is how many shards there are in all, so that a view which is not complete yet sends no program to the wrong one.
	Total uint32
	View  replica.View
	// PrimaryIncarnation names the incarnation of the primary store that may act as primary.
	PrimaryIncarnation uint64 `json:"PrimaryBoot"`
}

// Encode is the shard's form in a feed. Learners of the view are not part of it.
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

// DecodeShard reads a shard.
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

// ShardKey is the shard's key in its section.
func ShardKey(id uint32) string { return strconv.FormatUint(uint64(id), 10) }

// ShardOfProgram returns the shard of a program, if the map holds it. Any shard of the map tells how many there are.
func ShardOfProgram(program string, shards map[uint32]Shard) (Shard, bool) {
	for _, anyShard := range shards {
		shard, found := shards[crc32.ChecksumIEEE([]byte(program))%max(anyShard.Total, 1)]
		return shard, found
	}
	return Shard{}, false
}
