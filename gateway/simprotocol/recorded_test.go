package simprotocol

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// The lines in testdata/recorded are as the code of commit 1895881 read and wrote them.

// recordedBatch is the value of the recorded line in, with each message that there is.
func recordedBatch() Batch {
	create := &Create{Seed: 1<<64 - 1}
	s := &create.Start
	s.Balancers, s.Slot, s.Locality = 5, 3, "floor-2"
	s.Caps.Cancel, s.Caps.MayProbe, s.Caps.PeerMessages, s.Caps.SecondCopies = true, true, true, true
	s.Caps.TryLimit, s.Caps.Idle, s.Caps.Connect = 3, 30.5, 0.5
	s.Classes = []Class{{
		Name: "result-lookup", Goal: 0.05, Limit: 0.25, Gain: 1, Late: 0.2, Effect: "deduplicated", Group: "pool-a",
		KeyTTL: 600, Streamed: true,
	}, {Name: "status-peek", Goal: 0.01, Limit: 0.1, Gain: 0.5, Effect: "idempotent"}}
	s.Contract.Start, s.Contract.Warm, s.Contract.Factor = 0.25, 20, 1.5
	s.Extra.Counter, s.Extra.Limit, s.Extra.Settles, s.Extra.Most, s.Extra.Mail = true, 0.02, true, 16, 60
	s.Plans = []Plan{{Name: "club-basic", Rate: 100, Burst: 200, MaxOut: 8, NeverOver: 150.5, HardBurst: 300}}
	s.Registry = "patch"
	pressure := map[string]float64{"outstanding": 4, "new": 1.5}
	return Batch{At: 8.41225, Groups: []Group{
		{Who: 3, Inbox: []any{
			create,
			&Directory{Slot: 2, Entries: []Entry{
				{"10.18.74.7:9003", "floor-2", "c2-fast", 4, "active", 1, 7.5},
				{Host: "h2", State: "leaving"},
				{Host: "h3", State: "left"},
			}},
			&Discovery{Mode: "stale_copy", Gen: 1 << 63, Slot: 1},
			&JobIn{"fc64a7745d3a91c4", 3, 2.5, "result-lookup", "c-kd6b5sum7ecwe", 8.65225, "club-basic", 1, 2},
			&Flowing{"fc64a7745d3a91c4", 1, "10.18.74.7:9003", 0.004},
			&Verdict{"fc64a7745d3a91c4", true, 7, 0.0185, "10.18.74.7:9003", 3.25, 1, "S", pressure},
		}},
		{Who: 4, Inbox: []any{}},
		{Who: 5, Inbox: []any{
			&Hangup{"44ff55230e6f2b19"}, &Bell{1<<64 - 1}, &StatusBack{"10.18.74.7:9003", "T", 0.1, pressure},
			&Message{2, "!bACAAAAGAAAAAAB \"quoted\" \u00fc"}, &Sum{"S", 38.125, 1<<64 - 1, 0.00215}, &CrashNow{},
		}},
	}}
}

func recorded(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata/recorded", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestRecordedLineIsRead(t *testing.T) {
	text := recorded(t, "line-in.bin")
	b, err := ReadBatch(text)
	if err != nil {
		t.Fatal(err)
	}
	if want := recordedBatch(); !reflect.DeepEqual(b, want) {
		got, _ := json.Marshal(b)
		wanted, _ := json.Marshal(want)
		t.Errorf("the recorded line is read as\n%s\nwanted is\n%s", got, wanted)
	}
	for _, name := range []string{
		"CREATE", "CRASH_NOW", "DIRECTORY", "DISCOVERY", "JOB_IN", "FLOWING", "VERDICT", "HANGUP", "BELL",
		"STATUS_BACK", "MESSAGE", "SUM",
	} {
		if !strings.Contains(string(text), `["`+name+`"`) {
			t.Errorf("no %s is recorded", name)
		}
	}
}

// recordedReplies are lines out: commands with values of all kinds, instances that say nothing, and an empty line.
func recordedReplies() (text []byte) {
	var r Reply
	r.Begin()
	r.For(3)
	r.Put("PASS_ON", "fc64a7745d3a91c4", 0.08, "10.18.74.7:9003", 1e21, 1e-9, -0.5)
	r.Put("SCHEDULE", uint64(1<<64-1), 8.91225)
	r.Put("NOTHING")
	r.For(4)
	r.For(5)
	r.Put("ANNOUNCE", nil, "hi \"7\" <&> \u00fc\n", true, -12, []string{"a", "b"}, map[string]float64{"b": 1.5, "a": 2})
	text = append(text, r.Line()...)
	r.Begin()
	return append(text, r.Line()...)
}

func TestRepliesAreTheRecordedBytes(t *testing.T) {
	if got, want := string(recordedReplies()), string(recorded(t, "lines-out.bin")); got != want {
		t.Errorf("written is\n%s\nrecorded is\n%s", got, want)
	}
}
