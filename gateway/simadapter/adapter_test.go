package simadapter

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"otterseam/gateway/simprotocol"
)

const (
	create = `["CREATE",7,{"balancers":1,"slot_no":0,"locality":"z","caps":{"try_limit":2,"cancel":true},` +
		`"classes":[{"name":"read","goal_time":1,"gain":1,"late_worth":0.2,"effect":"idempotent"}],"plans":[{"name":"p"}],"extra":{}}]`
	hosts = `["DIRECTORY",0,[["h:1","z","k",0,"active",1,null]]],["DISCOVERY","stale_copy",1,0]`
)

func run(t *testing.T, lines ...string) string {
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

func request(ref string) string { return `["JOB_IN","` + ref + `",1,2,"read","c",14,"p",0,0]` }

func TestFinishedInvocationIsForgotten(t *testing.T) {
	got := run(t, batch("10", create+","+hosts+","+request("a1")),
		batch("10.1", `["VERDICT","a1",true,0,0.1,"h:1",0,0,"S",null],["VERDICT","a1",true,0,0.1,"h:1",0,0,"S",null],`+
			`["HANGUP","a1"],["HANGUP","ff"]`))
	if !strings.Contains(got, `["PASS_ON","a1",0,"h:1"]`) || strings.Count(got, "\n") != 2 {
		t.Fatalf("got %s", got)
	}
}

func TestCrashThenCreateInOneBatchStartsEmpty(t *testing.T) {
	got := run(t, batch("10", create+","+request("a1")), // a1 is queued because there are no hosts
		batch("10.1", `["CRASH_NOW"],`+create+","+hosts))
	if strings.Contains(got, "a1") {
		t.Fatalf("an invocation survived the crash of its gateway: %s", got)
	}
}

func TestHostListNumberIsReusedInMessageOrder(t *testing.T) {
	got := run(t, batch("10", create+","+hosts+","+request("a1")+
		`,["DIRECTORY",0,[["h:2","z","k",0,"active",1,null]]],["DISCOVERY","whole",2,0],`+request("a2")))
	if !strings.Contains(got, `["PASS_ON","a1",0,"h:1"],["PASS_ON","a2",0,"h:2"]`) {
		t.Fatalf("got %s", got)
	}
}

func TestRunRejectsInvalidInput(t *testing.T) {
	for _, tc := range []struct {
		name, line string
		want       any // a pointer for errors.As
	}{
		{"gateway not created", batch("10", request("a1")), new(*NotCreatedError)},
		{"unknown host list", batch("10", create+`,["DISCOVERY","whole",1,9]`), new(*UnknownListError)},
		{"invalid JSON", "no json", new(*simprotocol.ParseError)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := Run(strings.NewReader(tc.line+"\n"), &bytes.Buffer{})
			if !errors.As(err, tc.want) {
				t.Errorf("got %v, want a %T", err, tc.want)
			}
		})
	}
}
