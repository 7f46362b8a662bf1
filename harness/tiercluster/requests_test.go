package tiercluster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestATurnGoesOnFromTheOneBeforeThroughAnyFront(t *testing.T) {
	w := newWorld(t, 3)
	first := w.turnOK(0, "p", "", "600", 6, "hello ")
	second := w.turnOK(1, "p", first, "600", 3, "again ")
	third := w.turnOK(0, "p", second, "600", 3, "more")
	runs := w.ran(third)
	want := "hello e1\ne2\nagain e1\nmore"
	if len(runs) != 1 || runs[0].Body != want {
		t.Fatalf("the host got %+v, not %q", runs, want)
	}
	// another program goes on from it, through a shard of its own
	other := w.turnOK(1, "another", second, "600", 3, "apart")
	if runs := w.ran(other); len(runs) != 1 || runs[0].Body != "hello e1\ne2\nagain e1\napart" {
		t.Fatalf("the host got %+v", runs)
	}
	if got, _ := w.turn(0, "p", "00000000", "600", 3, "x"); got.Status != http.StatusNotFound {
		t.Fatalf("a turn that never was: %+v", got)
	}
}

func TestTheBudgetIsSharedByAllFronts(t *testing.T) {
	w := newWorld(t, 3)
	w.turnOK(0, "p", "", "30", 15, "a")
	w.turnOK(1, "p", "", "30", 15, "b")
	got, id := w.turn(0, "p", "", "30", 3, "c")
	if got.Status != http.StatusPaymentRequired {
		t.Fatalf("past the budget: %+v", got)
	}
	if runs := w.ran(id); len(runs) != 0 {
		t.Fatalf("a turn answered 402 has run: %+v", runs)
	}
	for _, header := range []map[string]string{
		{"Program": "q", "Budget": "many", "X-Token-Count": "1,3"},
		{"Program": "q", "Budget": "30", "X-Token-Count": "1;3"},
		{"Program": "q", "Budget": "30", "X-Token-Count": "1,-3"},
	} {
		if got, _ := w.call(0, http.MethodPost, "/chat/x", header, "x"); got.Status != http.StatusBadRequest {
			t.Fatalf("%v: %+v", header, got)
		}
	}
}

func TestAnUnsafeRequestRunsOnce(t *testing.T) {
	w := newWorld(t, 3)
	w.records.DropNextResponse()
	got, id := w.call(0, http.MethodPost, "/issue/1", nil, "one")
	if got.Status != http.StatusBadGateway {
		t.Fatalf("a lost answer: %+v", got)
	}
	if runs := w.ran(id); len(runs) != 1 {
		t.Fatalf("it ran %d times", len(runs))
	}
	w.records.Reject(true)
	got, id = w.call(0, http.MethodPost, "/issue/1", nil, "two")
	if got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Fatalf("refused by all hosts: %+v", got)
	}
	if runs := w.ran(id); len(runs) != 0 {
		t.Fatalf("a refused request has run: %+v", runs)
	}
	w.records.Reject(false)
	w.records.DropNextResponse()
	w.addHost("records-2", "records")
	err := WaitUntil(limit, func() bool {
		got, _ := w.call(0, http.MethodGet, "/lookup/1", nil, "")
		return got.Status == http.StatusOK && strings.HasPrefix(got.Header.Get("X-Response-Seal"), "seal-")
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestABrokenStreamGoesOnOnlyWhereItMay(t *testing.T) {
	w := newWorld(t, 3)
	for _, host := range w.engines {
		host.BreakNextStream(2)
	}
	header := map[string]string{"X-Token-Count": "10,15"}
	got, id := w.call(0, http.MethodPost, "/draft/1", header, "x")
	if got.Err == nil || len(w.ran(id)) != 2 {
		t.Fatalf("both hosts broke off: %+v, ran %+v", got, w.ran(id))
	}
	w.engines[0].BreakNextStream(2)
	w.engines[1].BreakNextStream(0)
	whole := ""
	for i := 1; i <= 5; i++ {
		whole += fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
	}
	for range 4 { // one of them meets the host that breaks off
		got, _ = w.call(0, http.MethodPost, "/draft/1", header, "x")
		if got.Err != nil || got.Body != whole {
			t.Fatalf("a resumable stream: %+v", got)
		}
	}
	for _, host := range w.engines {
		host.BreakNextStream(2)
	}
	got, id = w.call(0, http.MethodPost, "/chat/1", map[string]string{"X-Token-Count": "10,15", "Program": "p"}, "x")
	if got.Err == nil || len(w.ran(id)) != 1 {
		t.Fatalf("a stream that may not be resumed: %+v, ran %+v", got, w.ran(id))
	}
}

func TestBadRequestsAreNamed(t *testing.T) {
	w := newWorld(t, 3)
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
		if got, _ := w.call(0, http.MethodPost, test.path, test.header, test.body); got.Status != test.want || !strings.Contains(got.Body, `"code":`) {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// What net/http would settle by itself is refused, and the connection ends.
func TestAmbiguousBodiesAreRefused(t *testing.T) {
	w := newWorld(t, 3)
	conn, err := net.Dial("tcp", w.cluster.FrontAddresses()[0])
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
	if runs := w.ran("ffff0001"); len(runs) != 0 {
		t.Fatalf("it has run: %+v", runs)
	}
}
