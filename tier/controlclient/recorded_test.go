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
	recorded.CheckBoth(t, "store-beat", StoreHeartbeat{
		Store:   directory.Store{Identity: 0x0102030405060708, Incarnation: 0x1112131415161718, Node: "store-a", Address: "10.0.2.1:7501", Zone: "zone-b"},
		Leaving: true,
	}, StoreHeartbeat.Encode, DecodeStoreHeartbeat)
	recorded.CheckBoth(t, "shard-change", InSyncChange{
		Shard: 0x01020304, Epoch: 0x1112131415161718, Replica: 0x2122232425262728, Admit: true,
	}, InSyncChange.Encode, DecodeInSyncChange)
	recorded.CheckBoth(t, "host-beat", HostHeartbeat{
		Host: directory.Host{
			ID: "host-1", Service: "chat", Address: "10.0.1.1:8000", Zone: "zone-a", Version: "v3.2.1", Slots: 0x01020304,
			Draining: true, Stage: "canary", Models: `["m1","m2"]`,
		},
		Seq: 0x3132333435363738,
	}, HostHeartbeat.Encode, DecodeHostHeartbeat)
	probe := replica.Timestamp{Incarnation: 0x4142434445464748, At: 1_048_700}
	recorded.CheckBoth(t, "control-beat", MemberHeartbeat{
		Member: consensus.Member{ID: 0x5152535455565758, Address: "10.0.0.1:7401", Node: "ctl-a"}, Leaving: true, RejectedHeartbeats: 17,
		Echoed: probe,
	}, MemberHeartbeat.Encode, DecodeMemberHeartbeat)
	recorded.CheckBoth(t, "hosts-heard", HeartbeatReport{
		From: 0x5152535455565758, Echoed: probe, Hosts: []ReportedHost{{ID: "host-1", AgeMS: 0x01020304}, {ID: "host-22", AgeMS: 40}},
	}, HeartbeatReport.Encode, DecodeHeartbeatReport)
	recorded.CheckBoth(t, "missing", HeartbeatReportResponse{Unregistered: []string{"host-1", "host-22"}},
		HeartbeatReportResponse.Encode, DecodeHeartbeatReportResponse)
	recorded.CheckBoth(t, "missing-move", HeartbeatReportResponse{Unregistered: []string{"host-1"}, MoveHosts: 7, MoveTo: "10.0.0.3:7402"},
		HeartbeatReportResponse.Encode, DecodeHeartbeatReportResponse)
}

// The numbers of the kinds match the recording.
func TestRecordedKinds(t *testing.T) {
	var numbers []byte
	for _, kind := range []rpc.Kind{
		KindLocate, KindPrepare, KindAccept, KindSubmit, KindStoreHeartbeat, KindInSyncChange, KindMemberHeartbeat, KindRetirementState, KindHostHeartbeat,
		KindDeregisterHost, KindHeartbeatReport, KindPreVote, KindHostObservations,
	} {
		numbers = binary.BigEndian.AppendUint16(numbers, uint16(kind))
	}
	recorded.Check(t, "kinds", numbers)
}
