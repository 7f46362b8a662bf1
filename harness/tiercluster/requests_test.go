package tiercluster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestTurnContinuesThePreviousOneThroughAnyFront(t *testing.T) {
	c := newTestCluster(t, 3)
	first := c.turnOK(0, "p", "", "600", 6, "hello ")
	second := c.turnOK(1, "p", first, "600", 3, "again ")
	third := c.turnOK(0, "p", second, "600", 3, "more")
	runs := c.executions(third)
	want := "hello e1\ne2\nagain e1\nmore"
	if len(runs) != 1 || runs[0].Body != want {
		t.Fatalf("hosts executed %+v, want %q", runs, want)
	}
	// another program, which has its own shard, continues the same turn
	other := c.turnOK(1, "another", second, "600", 3, "apart")
	if runs := c.executions(other); len(runs) != 1 || runs[0].Body != "hello e1\ne2\nagain e1\napart" {
		t.Fatalf("hosts executed %+v", runs)
	}
	if got, _ := c.turn(0, "p", "00000000", "600", 3, "x"); got.Status != http.StatusNotFound {
		t.Fatalf("previous turn that doesn't exist: %+v", got)
	}
}

func TestBudgetIsSharedByAllFronts(t *testing.T) {
	c := newTestCluster(t, 3)
	c.turnOK(0, "p", "", "30", 15, "a")
	c.turnOK(1, "p", "", "30", 15, "b")
	got, id := c.turn(0, "p", "", "30", 3, "c")
	if got.Status != http.StatusPaymentRequired {
		t.Fatalf("over the budget: %+v", got)
	}
	if runs := c.executions(id); len(runs) != 0 {
		t.Fatalf("a turn with status 402 was executed: %+v", runs)
	}
	for _, header := range []map[string]string{
		{"Program": "q", "Budget": "many", "X-Token-Count": "1,3"},
		{"Program": "q", "Budget": "30", "X-Token-Count": "1;3"},
		{"Program": "q", "Budget": "30", "X-Token-Count": "1,-3"},
	} {
		if got, _ := c.call(0, http.MethodPost, "/chat/x", header, "x"); got.Status != http.StatusBadRequest {
			t.Fatalf("%v: %+v", header, got)
		}
	}
}

func TestUnsafeRequestIsExecutedOnce(t *testing.T) {
	c := newTestCluster(t, 3)
	c.records.DropNextResponse()
	got, id := c.call(0, http.MethodPost, "/issue/1", nil, "one")
	if got.Status != http.StatusBadGateway {
		t.Fatalf("lost response: %+v", got)
	}
	if runs := c.executions(id); len(runs) != 1 {
		t.Fatalf("executed %d times", len(runs))
	}
	c.records.Reject(true)
	got, id = c.call(0, http.MethodPost, "/issue/1", nil, "two")
	if got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Fatalf("rejected by all hosts: %+v", got)
	}
	if runs := c.executions(id); len(runs) != 0 {
		t.Fatalf("a rejected request was executed: %+v", runs)
	}
	c.records.Reject(false)
	c.records.DropNextResponse()
	c.addHost("records-2", "records")
	err := WaitUntil(limit, func() bool {
		got, _ := c.call(0, http.MethodGet, "/lookup/1", nil, "")
		return got.Status == http.StatusOK && strings.HasPrefix(got.Header.Get("X-Response-Seal"), "seal-")
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestOnlyResumableStreamsAreResumed(t *testing.T) {
	c := newTestCluster(t, 3)
	for _, host := range c.engines {
		host.BreakNextStream(2)
	}
	header := map[string]string{"X-Token-Count": "10,15"}
	got, id := c.call(0, http.MethodPost, "/draft/1", header, "x")
	if got.Err == nil || len(c.executions(id)) != 2 {
		t.Fatalf("both hosts broke the stream: %+v, executions %+v", got, c.executions(id))
	}
	c.engines[0].BreakNextStream(2)
	c.engines[1].BreakNextStream(0)
	whole := ""
	for i := 1; i <= 5; i++ {
		whole += fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
	}
	for range 4 { // one of them reaches the host that breaks the stream
		got, _ = c.call(0, http.MethodPost, "/draft/1", header, "x")
		if got.Err != nil || got.Body != whole {
			t.Fatalf("resumable stream: %+v", got)
		}
	}
	for _, host := range c.engines {
		host.BreakNextStream(2)
	}
	got, id = c.call(0, http.MethodPost, "/chat/1", map[string]string{"X-Token-Count": "10,15", "Program": "p"}, "x")
	if got.Err == nil || len(c.executions(id)) != 1 {
		t.Fatalf("stream that isn't resumable: %+v, executions %+v", got, c.executions(id))
	}
}

func TestBadRequestsGetAStatusAndACode(t *testing.T) {
	c := newTestCluster(t, 3)
	for name, test := range map[string]struct {
		path   string
		header map[string]string
		body   string
		want   int
	}{
		"no route":  {"/nowhere/", nil, "", http.StatusNotFound},
		"long body": {"/issue/1", nil, strings.Repeat("x", 70_000), http.StatusRequestEntityTooLarge},
		"long head": {"/issue/1", map[string]string{"X-Long": strings.Repeat("x", 20_000)}, "", http.StatusRequestHeaderFieldsTooLarge},
		"deadline":  {"/issue/1", map[string]string{"X-Deadline-Ms": "soon"}, "", http.StatusBadRequest},
	} {
		if got, _ := c.call(0, http.MethodPost, test.path, test.header, test.body); got.Status != test.want || !strings.Contains(got.Body, `"code":`) {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// Checks that a request with both Content-Length and Transfer-Encoding, which net/http would accept, is rejected and its connection
// closed.
func TestAmbiguousBodyLengthsAreRejected(t *testing.T) {
	c := newTestCluster(t, 3)
	conn, err := net.Dial("tcp", c.cluster.FrontAddresses()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const text = "POST /issue/1 HTTP/1.1\r\nHost: try.example\r\nX-Request-Id: ffff0001\r\nContent-Length: 3\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 400 ") {
		t.Fatalf("%q, %v", answer, err)
	}
	if runs := c.executions("ffff0001"); len(runs) != 0 {
		t.Fatalf("the request was executed: %+v", runs)
	}
}
