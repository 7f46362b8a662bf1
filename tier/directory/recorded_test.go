package directory

import (
	"slices"
	"testing"

	"otterseam/tier/codec"
	"otterseam/tier/consensus"
	"otterseam/tier/feed"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/replica"
)

func recordedHost() Host {
	return Host{
		ID: "host-1", Service: "chat", Address: "10.0.1.1:8000", Zone: "zone-a", Version: "v3.2.1", Slots: 0x01020304, Draining: true,
		Stage: "canary", Models: `["m1","m2"]`,
	}
}

func recordedStore() Store {
	return Store{
		Identity: 0x0102030405060708, Incarnation: 0x1112131415161718, Node: "store-a", Address: "10.0.2.1:7501", Zone: "zone-b",
	}
}

func recordedShard() Shard {
	return Shard{
		ID: 0x01020304, Total: 0x11121314, PrimaryIncarnation: 0x2122232425262728,
		View: replica.View{
			Epoch: 0x3132333435363738, Primary: 0x0102030405060708, InSync: []uint64{0x0102030405060708, 9},
			Replicas: []uint64{0x0102030405060708, 9, 10}, MinInSync: 2,
		},
	}
}

func TestRecordedItems(t *testing.T) {
	recorded.CheckBoth(t, "host", recordedHost(), Host.Encode, DecodeHost)
	recorded.CheckBoth(t, "store", recordedStore(), Store.Encode, DecodeStore)
	recorded.CheckBoth(t, "shard", recordedShard(), Shard.Encode, DecodeShard)
	recorded.CheckBoth(t, "term", int64(90_000), EncodeEjectionDuration, DecodeEjectionDuration)
}

// All processes must compute the same item keys and the same shard of a program.
func TestRecordedKeys(t *testing.T) {
	var e codec.Encoder
	e.String(CurrentKey)
	e.String(StoreKey(0x0102030405060708))
	e.String(ShardKey(37))
	shards := map[uint32]Shard{}
	for id := range uint32(64) {
		shards[id] = Shard{ID: id, Total: 64}
	}
	for _, program := range []string{"program-a", "program-b", "", "ü"} {
		shard, _ := ShardOfProgram(program, shards)
		e.Uint32(shard.ID)
	}
	recorded.Check(t, "keys", e.Bytes)
}

func TestRecordedMembers(t *testing.T) {
	record := consensus.Record{
		Epoch: 5, Primary: 1, InSync: []uint64{1, 2}, MinInSync: 2, ClusterID: 0xfedcba9876543210,
		Members:  []consensus.Member{{ID: 1, Address: "10.0.0.1:7401", Node: "ctl-a"}, {ID: 2, Address: "10.0.0.2:7402", Node: "ctl-b"}},
		Previous: []consensus.Member{{ID: 1, Address: "10.0.0.1:7401", Node: "ctl-a"}},
		Learners: []consensus.Member{{ID: 3, Address: "10.0.0.3:7403", Node: "ctl-c"}},
	}
	recorded.Check(t, "members", EncodeControlMembers(record))
	view := feed.NewView()
	view.Put(feed.SectionControl, CurrentKey, 1, recorded.Read(t, "members"))
	if got := ControlAddresses(view); !slices.Equal(got, []string{"10.0.0.1:7401", "10.0.0.2:7402"}) {
		t.Fatalf("addresses are %v", got)
	}
}
