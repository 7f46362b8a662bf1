package status

import (
	"strings"
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

func letterName(id uint64) string { return string(rune('a' + id - 1)) }

func record(inSync []uint64, minInSync int, members ...uint64) consensus.Record {
	r := consensus.Record{Epoch: 3, Primary: inSync[0], InSync: inSync, MinInSync: minInSync}
	for _, id := range members {
		r.Members = append(r.Members, consensus.Member{ID: id})
	}
	return r
}

// withPrevious returns a record in the middle of a membership change, with members as the previous members.
func withPrevious(r consensus.Record, members ...uint64) consensus.Record {
	for _, id := range members {
		r.Previous = append(r.Previous, consensus.Member{ID: id})
	}
	return r
}

func TestProtectionOfControl(t *testing.T) {
	cases := []struct {
		name         string
		record       consensus.Record
		losses       int
		acknowledges bool
		limitedBy    string
	}{
		{"three in sync", record([]uint64{1, 2, 3}, 2, 1, 2, 3), 1, true, "more than half of 3 members"},
		{"one lags", record([]uint64{1, 3}, 2, 1, 2, 3), 0, true, "b is not in sync"},
		{"alone", record([]uint64{1}, 2, 1, 2, 3), 0, false, "1 of the 2 copies that an acknowledgement needs: nothing is acknowledged until b, c"},
		{"five in sync", record([]uint64{1, 2, 3, 4, 5}, 3, 1, 2, 3, 4, 5), 2, true, "more than half of 5 members"},
		{"four", record([]uint64{1, 2, 3, 4}, 3, 1, 2, 3, 4), 1, true, "more than half of 4 members"},
		{"one machine", record([]uint64{1}, 1, 1), 0, true, "more than half of 1 member "},
		{"a fourth member is being added while the first is lost", withPrevious(record([]uint64{2, 3, 4}, 2, 1, 2, 3, 4), 1, 2, 3), 0, true, "a is not in sync"},
		{"unknown", consensus.Record{}, 0, false, "nobody answers"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ProtectionOfControl(c.record, letterName)
			if got.ToleratedLosses != c.losses || got.CanAcknowledge != c.acknowledges || !strings.Contains(got.LimitedBy, c.limitedBy) {
				t.Errorf("%+v", got)
			}
		})
	}
}

func TestProtectionOfShard(t *testing.T) {
	cases := []struct {
		name      string
		view      replica.View
		losses    int
		limitedBy string
	}{
		{"all in sync", replica.View{InSync: []uint64{1, 2, 3}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}, 2, "all of 3 copies in sync"},
		{"one lags", replica.View{InSync: []uint64{1, 2}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}, 1, "c is not in sync"},
		{"two lag", replica.View{InSync: []uint64{1, 2}, Replicas: []uint64{1, 2, 3, 4}, MinInSync: 2}, 1, "c, d are not in sync"},
		{"below", replica.View{InSync: []uint64{2}, Replicas: []uint64{1, 2}, MinInSync: 2}, 0, "nothing is acknowledged until a caught up"},
		{"below the minimum, no further replica", replica.View{InSync: []uint64{2}, Replicas: []uint64{2}, MinInSync: 2}, 0, "another machine is needed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := ProtectionOfShard(c.view, letterName); got.ToleratedLosses != c.losses || !strings.Contains(got.LimitedBy, c.limitedBy) {
				t.Errorf("%+v", got)
			}
		})
	}
}

// The name of a replica is the name of its machine, or else the address of a member of control, or else the identity.
func TestReplicaNames(t *testing.T) {
	s := Status{
		Control: consensus.Record{
			Members:  []consensus.Member{{ID: 1, Address: "10.0.0.1:7401", Node: "ctl-a"}, {ID: 2, Address: "10.0.0.2:7402"}},
			Previous: []consensus.Member{{ID: 3, Node: "ctl-c"}},
			Learners: []consensus.Member{{ID: 4, Node: "ctl-d"}},
		},
		Stores: []directory.Store{{Identity: 5, Node: "store-a"}},
	}
	name := s.ReplicaNames()
	for id, want := range map[uint64]string{1: "ctl-a", 2: "10.0.0.2:7402", 3: "ctl-c", 4: "ctl-d", 5: "store-a", 0xab: "ab"} {
		if got := name(id); got != want {
			t.Errorf("the name of %d is %q, want %q", id, got, want)
		}
	}
}
