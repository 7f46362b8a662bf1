package simprotocol

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// The lines in testdata/recorded were read and written by the code of commit 1895881.

// recordedSettings returns the settings of the recorded CREATE.
func recordedSettings() Settings {
	return Settings{
		Gateways: 5, Slot: 3, Zone: "floor-2",
		Caps: Caps{
			Cancel: true, MayProbe: true, PeerMessages: true, Hedging: true, MaxAttempts: 3, IdleTimeout: 30.5, DialTimeout: 0.5,
		},
		Operations: []Operation{
			{
				Name: "result-lookup", LatencyTarget: 0.05, Timeout: 0.25, Value: 1, LateValue: 0.2, Effect: "deduplicated",
				DedupScope: "pool-a", DedupWindow: 600, Streamed: true,
			},
			{Name: "status-peek", LatencyTarget: 0.01, Timeout: 0.1, Value: 0.5, Effect: "idempotent"},
		},
		SlowStart:     SlowStart{InitialCapacity: 0.25, Duration: 20, OverloadFactor: 1.5},
		Shared:        Shared{Counter: true, CounterTimeout: 0.02, SettlesUnits: true, MaxUnits: 16, PeerMessageRate: 60},
		Plans:         []Plan{{Name: "club-basic", Rate: 100, Burst: 200, MaxConcurrent: 8, CeilingRate: 150.5, CeilingBurst: 300}},
		DiscoveryMode: "patch",
	}
}

// recordedBatch returns the value of the recorded input line, which contains every kind of message.
func recordedBatch() Batch {
	pressure := map[string]float64{"outstanding": 4, "new": 1.5}
	return Batch{At: 8.41225, Groups: []Group{
		{Gateway: 3, Inbox: []any{
			&Create{Seed: 1<<64 - 1, Settings: recordedSettings()},
			&HostList{Number: 2, Entries: []HostEntry{
				{"10.18.74.7:9003", "floor-2", "c2-fast", 4, "active", 1, 7.5},
				{Addr: "h2", State: "leaving"},
				{Addr: "h3", State: "left"},
			}},
			&HostsChanged{Mode: "stale_copy", Generation: 1 << 63, List: 1},
			&Request{"fc64a7745d3a91c4", 3, 2.5, "result-lookup", "c-kd6b5sum7ecwe", 8.65225, "club-basic", 1, 2},
			&ResponseStarted{"fc64a7745d3a91c4", 1, "10.18.74.7:9003", 0.004},
			&AttemptEnded{"fc64a7745d3a91c4", true, 7, 0.0185, "10.18.74.7:9003", 3.25, 1, "S", pressure},
		}},
		{Gateway: 4, Inbox: []any{}},
		{Gateway: 5, Inbox: []any{
			&ClientGone{"44ff55230e6f2b19"},
			&TimerFired{1<<64 - 1},
			&ProbeEnded{"10.18.74.7:9003", "T", 0.1, pressure},
			&PeerMessage{2, "!bACAAAAGAAAAAAB \"quoted\" \u00fc"},
			&CounterReplied{"S", 38.125, 1<<64 - 1, 0.00215},
			&Crash{},
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

func TestRecordedLineIsParsed(t *testing.T) {
	text := recorded(t, "line-in.bin")
	b, err := ParseBatch(text)
	if err != nil {
		t.Fatal(err)
	}
	if want := recordedBatch(); !reflect.DeepEqual(b, want) {
		gotJSON, _ := json.Marshal(b)
		wantJSON, _ := json.Marshal(want)
		t.Errorf("the recorded line was parsed as\n%s\nwant\n%s", gotJSON, wantJSON)
	}
	for _, name := range []string{
		"CREATE", "CRASH_NOW", "DIRECTORY", "DISCOVERY", "JOB_IN", "FLOWING", "VERDICT", "HANGUP", "BELL",
		"STATUS_BACK", "MESSAGE", "SUM",
	} {
		if !strings.Contains(string(text), `["`+name+`"`) {
			t.Errorf("the recorded line contains no %s", name)
		}
	}
}

// recordedReplies returns output lines: commands with values of all types, gateways without commands, and an empty reply.
func recordedReplies() (text []byte) {
	var r Reply
	r.Begin()
	r.SelectGateway(3)
	r.Add("PASS_ON", "fc64a7745d3a91c4", 0.08, "10.18.74.7:9003", 1e21, 1e-9, -0.5)
	r.Add("SCHEDULE", uint64(1<<64-1), 8.91225)
	r.Add("NOTHING")
	r.SelectGateway(4)
	r.SelectGateway(5)
	r.Add("ANNOUNCE", nil, "hi \"7\" <&> \u00fc\n", true, -12, []string{"a", "b"}, map[string]float64{"b": 1.5, "a": 2})
	text = append(text, r.Line()...)
	r.Begin()
	return append(text, r.Line()...)
}

func TestRepliesMatchRecordedBytes(t *testing.T) {
	if got, want := string(recordedReplies()), string(recorded(t, "lines-out.bin")); got != want {
		t.Errorf("got\n%s\nwant the recorded\n%s", got, want)
	}
}
