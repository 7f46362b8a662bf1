package simprotocol

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

func TestParseBatch(t *testing.T) {
	line := `{"at_time":8.41225,"gateways":[{"who":3,"inbox":[["JOB_IN","fc64a7745d3a91c4",3,2,"result-lookup",` +
		`"c-kd6b5sum7ecwe",8.65225,"club-basic",1,1],["BELL",9223372036854775807]]},` +
		`{"who":5,"inbox":[["HANGUP","44ff55230e6f2b19"],["SUM","S",38,9041552,0.00215],` +
		`["VERDICT","f",true,null,0.0185,"10.18.74.7:9003",3,0,"S",{"outstanding":4,"new":1.5}],` +
		`["DIRECTORY",0,[["10.18.74.7:9003","floor-2","c2-fast",0,"active",1,null]]]]}],"later":{}}`
	got, err := ParseBatch([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	want := Batch{At: 8.41225, Groups: []Group{
		{Gateway: 3, Inbox: []any{
			&Request{
				Ref: "fc64a7745d3a91c4", GatewayCount: 3, Units: 2, Operation: "result-lookup", Customer: "c-kd6b5sum7ecwe",
				Deadline: 8.65225, Plan: "club-basic", Options: 1, FirstGateway: 1,
			},
			&TimerFired{Nonce: 1<<63 - 1},
		}},
		{Gateway: 5, Inbox: []any{
			&ClientGone{Ref: "44ff55230e6f2b19"},
			&CounterReplied{Outcome: "S", Total: 38, Name: 9041552, Duration: 0.00215},
			&AttemptEnded{
				Ref: "f", Final: true, Duration: 0.0185, Host: "10.18.74.7:9003", Units: 3, Outcome: "S",
				Pressure: map[string]float64{"outstanding": 4, "new": 1.5},
			},
			&HostList{Entries: []HostEntry{
				{Addr: "10.18.74.7:9003", Zone: "floor-2", Kind: "c2-fast", State: "active", Weight: 1},
			}},
		}},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestParseBatchRejectsInvalidLines(t *testing.T) {
	batch := func(message string) string { return `{"at_time":1,"gateways":[{"who":1,"inbox":[` + message + `]}]}` }
	for _, tc := range []struct{ name, line, part, text string }{
		{"invalid JSON", `{"at_time":1,"gateways":[`, "batch", "batch: unexpected end of JSON input"},
		{"no time", `{"gateways":[]}`, "batch", "at_time"},
		{"no gateway", `{"at_time":1,"gateways":[{"inbox":[]}]}`, "batch", "who"},
		{"unknown message", batch(`["WHAT",1]`), "message", `"WHAT"`},
		{"message without a name", batch(`[]`), "message", "name"},
		{"name is not a string", batch(`[1]`), "message", "not a string"},
		{"value of the wrong type", batch(`["BELL","soon"]`), "BELL", `BELL: value 1`},
		{"value missing", batch(`["HANGUP"]`), "HANGUP", "HANGUP"},
		{"unknown outcome", batch(`["SUM","Q",1,2,3]`), "SUM", `"Q"`},
		{"unknown mode", batch(`["DISCOVERY","none",1,2]`), "DISCOVERY", `"none"`},
		{"unknown host state", batch(`["DIRECTORY",1,[["h","z","k",0,"up",1,0]]]`), "DIRECTORY", `"up"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseBatch([]byte(tc.line))
			var parseErr *ParseError
			if !errors.As(err, &parseErr) {
				t.Fatalf("got %v, want a *ParseError", err)
			}
			if parseErr.Part != tc.part || !strings.Contains(err.Error(), tc.text) {
				t.Errorf("got error %q with part %q, want %q with part %q", err, parseErr.Part, tc.text, tc.part)
			}
		})
	}
}

func TestReplyIsOneLine(t *testing.T) {
	var r Reply
	r.Begin()
	r.SelectGateway(3)
	r.Add("PASS_ON", "fc64a7745d3a91c4", 0.08, "10.18.74.7:9003")
	r.Add("SCHEDULE", uint64(1<<63), 8.91225)
	r.SelectGateway(4) // issues no command and is omitted
	r.SelectGateway(5)
	r.Add("ANNOUNCE", nil, "hi \"7\"")
	want := `{"gateways":[{"who":3,"cmds":[["PASS_ON","fc64a7745d3a91c4",0.08,"10.18.74.7:9003"],` +
		`["SCHEDULE",9223372036854775808,8.91225]]},{"who":5,"cmds":[["ANNOUNCE",null,"hi \"7\""]]}]}` + "\n"
	if got := string(r.Line()); got != want {
		t.Fatalf("got  %swant %s", got, want)
	}
	r.Begin()
	if got := string(r.Line()); got != "{\"gateways\":[]}\n" {
		t.Fatalf("got %s", got)
	}
}
