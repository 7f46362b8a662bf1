package status

import (
	"bytes"
	"encoding/json"
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/replica"
)

// recordedStatus returns a status in which every field of the JSON output is set.
func recordedStatus() Status {
	members := []consensus.Member{{ID: 1, Address: "10.0.0.1:7401", Node: "ctl-a"}, {ID: 2, Address: "10.0.0.2:7402", Node: "ctl-b"}}
	s := Status{
		Control: consensus.Record{
			Epoch: 5, Primary: 1, InSync: []uint64{1, 2}, Members: members, Previous: members[:1], MinInSync: 2,
			Learners: []consensus.Member{{ID: 3, Address: "10.0.0.3:7403", Node: "ctl-c"}}, ClusterID: 99,
		},
		ConfigVersion: 7, Revision: 41,
		Stores: []directory.Store{{Identity: 11, Incarnation: 12, Node: "store-a", Address: "10.0.2.1:7501", Zone: "zone-b"}},
		Shards: []directory.Shard{{
			ID: 3, Total: 64, PrimaryIncarnation: 12,
			View: replica.View{Epoch: 6, Primary: 11, InSync: []uint64{11}, Replicas: []uint64{11, 13}, MinInSync: 1, Learners: []uint64{14}},
		}},
		Hosts: []directory.Host{{
			ID: "host-1", Service: "chat", Address: "10.0.1.1:8000", Zone: "zone-a", Version: "v3", Slots: 8, Draining: true, Stage: "canary",
			Models: `["m1"]`,
		}},
		Ejected:  map[string]int64{"host-1": 90_000},
		Recovery: []Recovery{{Address: "10.0.0.1:7401", AfterMS: map[string]int64{"started": 1}}},
	}
	s.fillProtection()
	return s
}

// Guards the JSON output for operators against changes, in particular of its keys. A renamed field needs a tag that keeps its key.
func TestStatusIsWrittenAsTheRecordedJSON(t *testing.T) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(recordedStatus()); err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "status-json", out.Bytes())
}
