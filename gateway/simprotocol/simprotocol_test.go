package simprotocol

import (
	"strings"
	"testing"
)

func TestReadsWhatThePageShows(t *testing.T) {
	line := `{"at_time":8.41225,"gateways":[{"who":3,"inbox":[["JOB_IN","fc64a7745d3a91c4",3,2,"result-lookup",` +
		`"c-kd6b5sum7ecwe",8.65225,"club-basic",1,1],["BELL",9223372036854775807]]},` +
		`{"who":5,"inbox":[["HANGUP","44ff55230e6f2b19"],["SUM","S",38,9041552,0.00215],` +
		`["VERDICT","f",true,null,0.0185,"10.18.74.7:9003",3,0,"S",{"outstanding":4,"new":1.5}],` +
		`["DIRECTORY",0,[["10.18.74.7:9003","floor-2","c2-fast",0,"active",1,null]]]]}],"later":{}}`
	b, err := ReadBatch([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	j := b.Groups[0].Inbox[0].(*JobIn)
	if b.At != 8.41225 || j.Ref != "fc64a7745d3a91c4" || j.Width != 3 || j.Units != 2 || j.Deadline != 8.65225 {
		t.Fatalf("got %+v at %v", j, b.At)
	}
	if bell := b.Groups[0].Inbox[1].(*Bell); bell.Nonce != 1<<63-1 {
		t.Fatalf("a 64-bit number was changed: %d", bell.Nonce)
	}
	in := b.Groups[1].Inbox
	if s := in[1].(*Sum); s.Sum != 38 || s.Name != 9041552 {
		t.Fatalf("got %+v", s)
	}
	if v := in[2].(*Verdict); !v.Done || v.Use != 0 || v.How != "S" || v.Pressure["outstanding"] != 4 {
		t.Fatalf("got %+v", v)
	}
	if d := in[3].(*Directory); d.Entries[0].State != "active" || d.Entries[0].Since != 0 {
		t.Fatalf("got %+v", d)
	}
}

func TestBadInputIsNamed(t *testing.T) {
	for line, want := range map[string]string{
		`{"at_time":1,"gateways":[`: "batch",
		`{"gateways":[]}`:           "at_time",
		`{"at_time":1,"gateways":[{"who":1,"inbox":[["WHAT",1]]}]}`:        `"WHAT"`,
		`{"at_time":1,"gateways":[{"who":1,"inbox":[["BELL","soon"]]}]}`:   `BELL: value 1`,
		`{"at_time":1,"gateways":[{"who":1,"inbox":[["HANGUP"]]}]}`:        "HANGUP",
		`{"at_time":1,"gateways":[{"who":1,"inbox":[["SUM","Q",1,2,3]]}]}`: `"Q"`,
	} {
		if _, err := ReadBatch([]byte(line)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: want an error that names %s, got %v", line, want, err)
		}
	}
}

func TestWritesOneLine(t *testing.T) {
	var r Reply
	r.Begin()
	r.For(3)
	r.Put("PASS_ON", "fc64a7745d3a91c4", 0.08, "10.18.74.7:9003")
	r.Put("SCHEDULE", uint64(1<<63), 8.91225)
	r.For(4) // does nothing: left out
	r.For(5)
	r.Put("ANNOUNCE", nil, "hi \"7\"")
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
