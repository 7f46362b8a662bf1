package controlclient

import (
	"encoding/binary"
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

func TestRecordedMessages(t *testing.T) {
	recorded.CheckBoth(t, "store-beat", StoreBeat{
		Store:   directory.Store{Identity: 0x0102030405060708, Boot: 0x1112131415161718, Node: "store-a", Address: "10.0.2.1:7501", Zone: "zone-b"},
		Leaving: true,
	}, StoreBeat.Encode, DecodeStoreBeat)
	recorded.CheckBoth(t, "shard-change", ShardChange{
		Shard: 0x01020304, Epoch: 0x1112131415161718, Replica: 0x2122232425262728, Admit: true,
	}, ShardChange.Encode, DecodeShardChange)
	recorded.CheckBoth(t, "host-beat", HostBeat{
		Host: directory.Host{
			ID: "host-1", Service: "chat", Address: "10.0.1.1:8000", Zone: "zone-a", Version: "v3.2.1", Slots: 0x01020304,
			Draining: true, Stage: "canary", Models: `["m1","m2"]`,
		},
		Seq: 0x3132333435363738,
	}, HostBeat.Encode, DecodeHostBeat)
	question := replica.Timestamp{Incarnation: 0x4142434445464748, At: 1_048_700}
	recorded.CheckBoth(t, "control-beat", ControlBeat{
		Member: consensus.Member{ID: 0x5152535455565758, Address: "10.0.0.1:7401", Node: "ctl-a"}, Leaving: true, Refusals: 17,
		Question: question,
	}, ControlBeat.Encode, DecodeControlBeat)
	recorded.CheckBoth(t, "hosts-heard", HostsHeard{
		By: 0x5152535455565758, Question: question, Hosts: []HeardHost{{ID: "host-1", Age: 0x01020304}, {ID: "host-22", Age: 40}},
	}, HostsHeard.Encode, DecodeHostsHeard)
	recorded.CheckBoth(t, "missing", []string{"host-1", "host-22"}, EncodeMissing, DecodeMissing)
}

// The numbers of the calls are those recorded.
func TestRecordedKinds(t *testing.T) {
	var numbers []byte
	for _, kind := range []rpc.Kind{
		KindLocate, KindPrepare, KindAccept, KindSubmit, KindStoreBeat, KindShardChange, KindControlBeat, KindRetireRead, KindHostBeat,
		KindHostGone, KindHostsHeard, KindSupport, KindObserved,
	} {
		numbers = binary.BigEndian.AppendUint16(numbers, uint16(kind))
	}
	recorded.Check(t, "kinds", numbers)
}
