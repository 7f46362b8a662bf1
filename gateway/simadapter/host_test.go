package simadapter

import (
	"bytes"
	"strings"
	"testing"
)

const start = `["CREATE",7,{"balancers":1,"slot_no":0,"locality":"z","caps":{"try_limit":2,"cancel":true},` +
	`"classes":[{"name":"read","goal_time":1,"gain":1,"late_worth":0.2,"effect":"idempotent"}],"plans":[{"name":"p"}],"extra":{}}]`
const hosts = `["DIRECTORY",0,[["h:1","z","k",0,"active",1,null]]],["DISCOVERY","stale_copy",1,0]`

func play(t *testing.T, lines ...string) string {
	t.Helper()
	var out bytes.Buffer
	if err := Run(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func batch(at, inbox string) string {
	return `{"at_time":` + at + `,"gateways":[{"who":0,"inbox":[` + inbox + `]}]}`
}

func job(ref string) string { return `["JOB_IN","` + ref + `",1,2,"read","c",14,"p",0,0]` }

func TestAnInvocationGoesOutAndIsForgotten(t *testing.T) {
	got := play(t, batch("10", start+","+hosts+","+job("a1")),
		batch("10.1", `["VERDICT","a1",true,0,0.1,"h:1",0,0,"S",null],["VERDICT","a1",true,0,0.1,"h:1",0,0,"S",null],`+
			`["HANGUP","a1"],["HANGUP","ff"]`))
	if !strings.Contains(got, `["PASS_ON","a1",0,"h:1"]`) || strings.Count(got, "\n") != 2 {
		t.Fatalf("got %s", got)
	}
}

func TestACrashDropsAllAndAStartInTheSameBatchIsNew(t *testing.T) {
	got := play(t, batch("10", start+","+job("a1")), // no hosts: a1 waits
		batch("10.1", `["CRASH_NOW"],`+start+","+hosts))
	if strings.Contains(got, "a1") {
		t.Fatalf("an invocation outlived its instance: %s", got)
	}
}

func TestAListNumberIsReusedInEventOrder(t *testing.T) {
	got := play(t, batch("10", start+","+hosts+","+job("a1")+
		`,["DIRECTORY",0,[["h:2","z","k",0,"active",1,null]]],["DISCOVERY","whole",2,0],`+job("a2")))
	if !strings.Contains(got, `["PASS_ON","a1",0,"h:1"],["PASS_ON","a2",0,"h:2"]`) {
		t.Fatalf("got %s", got)
	}
}

func TestBadInputEndsWithAnError(t *testing.T) {
	for _, line := range []string{batch("10", job("a1")), batch("10", start+`,["DISCOVERY","whole",1,9]`), "no json"} {
		if err := Run(strings.NewReader(line+"\n"), &bytes.Buffer{}); err == nil {
			t.Errorf("no error for %s", line)
		}
	}
}
