package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"testing"
	"time"

	"otterseam/tier/opconfig"
)

func newRequest(header map[string]string, route *opconfig.Route) *request {
	r := &request{
		id: "r1", method: http.MethodPost, uri: "/chat/7?x=%2F", host: "a.example", header: http.Header{}, body: []byte("body"),
		route: route, deadline: time.Now().Add(time.Minute),
	}
	for name, value := range header {
		r.header.Set(name, value)
	}
	return r
}

// decodeRequest decodes an encoded request as a host does.
func decodeRequest(t *testing.T, encoded []byte) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(encoded)))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestARequestIsForwardedUnchanged(t *testing.T) {
	r := newRequest(map[string]string{
		"X-Request-Id": "r1", "Program": "p", "Cookie": "c", "Connection": "keep-alive, X-Hop", "X-Hop": "1", "Keep-Alive": "timeout=9",
		"Transfer-Encoding": "chunked", "X-Deadline-Ms": "1", "X-Expect-Instance": "forged", "Priority": "0", "Upgrade": "h2c",
	}, &opconfig.Route{RouteType: opconfig.RouteStreaming, Priority: 1})
	got := decodeRequest(t, r.encode("host-1", "", r.body))
	if got.Method != http.MethodPost || got.RequestURI != "/chat/7?x=%2F" || got.Host != "a.example" || got.ContentLength != 4 {
		t.Fatalf("%+v", got)
	}
	for name, want := range map[string]string{
		"X-Request-Id": "r1", "Program": "p", "Cookie": "c", "X-Expect-Instance": "host-1", "Priority": "5",
		"X-Hop": "", "Keep-Alive": "", "Upgrade": "", "Last-Event-Id": "",
	} {
		if value := got.Header.Get(name); value != want {
			t.Errorf("%s is %q, want %q", name, value, want)
		}
	}
	if remaining, ok := parseMilliseconds(got.Header.Get("X-Deadline-Ms")); !ok || remaining < 50*time.Second || remaining > time.Minute {
		t.Errorf("deadline %v", remaining)
	}
}

func TestAResumedRequestCarriesTheLastEventID(t *testing.T) {
	r := newRequest(map[string]string{"Last-Event-Id": "3"}, &opconfig.Route{RouteType: opconfig.RouteStreaming})
	if got := decodeRequest(t, r.encode("h", "9", r.body)); got.Header.Get("Last-Event-Id") != "9" {
		t.Fatal(got.Header)
	}
}

func TestUrgencyFollowsTheRankWithinItsRange(t *testing.T) {
	last := -1
	for rank := range 12 {
		got := urgency(rank)
		if got < last || got < 0 || got > urgencyLast {
			t.Fatalf("rank %d: %d after %d", rank, got, last)
		}
		last = got
	}
	if urgency(-5) != urgency(0) {
		t.Fatal("a rank below 0 is more urgent than 0")
	}
}

// retainedRoute and strideService are the route and the service of the turns in the tests below.
var (
	retainedRoute = &opconfig.Route{RouteType: opconfig.RouteStreaming, Retained: true, RetentionS: 60}
	strideService = &opconfig.Service{Engine: &opconfig.Engine{Stride: 3}}
)

func TestParseTurn(t *testing.T) {
	type parsed struct {
		budget, maxTokens, tokensPerEvent uint64
		hasBudget, accounted              bool
		previous                          string
	}
	for name, test := range map[string]struct {
		header map[string]string
		want   parsed
	}{
		"all headers": {
			map[string]string{"Program": "p", "Budget": "100", "X-Token-Count": "1460, 80", "Previous": "x"},
			parsed{budget: 100, maxTokens: 80, tokensPerEvent: 3, hasBudget: true, accounted: true, previous: "x"},
		},
		// without a maximum number of generated tokens, only the whole budget is certain to cover the turn
		"no token count": {
			map[string]string{"Program": "p", "Budget": "100"},
			parsed{budget: 100, maxTokens: 100, tokensPerEvent: 3, hasBudget: true, accounted: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			turn, err := parseTurn(newRequest(test.header, retainedRoute), strideService)
			if err != nil {
				t.Fatal(err)
			}
			got := parsed{
				budget: turn.budget, maxTokens: turn.maxTokens, tokensPerEvent: turn.tokensPerEvent,
				hasBudget: turn.hasBudget, accounted: turn.isAccounted(), previous: turn.previous,
			}
			if got != test.want {
				t.Fatalf("%+v, want %+v", got, test.want)
			}
		})
	}
}

func TestACompleteTurnIsSettledWithItsTexts(t *testing.T) {
	turn, err := parseTurn(newRequest(map[string]string{"Program": "p", "Budget": "100"}, retainedRoute), strideService)
	if err != nil {
		t.Fatal(err)
	}
	end := turn.completeCommand(24, []byte("out"), "h", time.Now())
	if end.Actual != 24 || !end.Retain || end.RetentionMS != 60_000 || string(end.Input) != "body" {
		t.Fatalf("%+v", end)
	}
}

func TestAMalformedTurnIsRejected(t *testing.T) {
	for _, test := range []struct {
		name, value string
		want        error
	}{
		{"Budget", "ten", errBudgetHeader},
		{"Budget", "-1", errBudgetHeader},
		{"Budget", "1.5", errBudgetHeader},
		{"X-Token-Count", "5", errTokenCountHeader},
		{"X-Token-Count", "a,5", errTokenCountHeader},
		{"X-Token-Count", "5,b", errTokenCountHeader},
		{"X-Token-Count", "5,-1", errTokenCountHeader},
		{"X-Token-Count", "5,6,7", errTokenCountHeader},
	} {
		header := map[string]string{test.name: test.value}
		if _, err := parseTurn(newRequest(header, retainedRoute), strideService); !errors.Is(err, test.want) {
			t.Errorf("%v: %v, want %v", header, err, test.want)
		}
	}
}

func TestATurnOutsideProgramsNeedsNoStore(t *testing.T) {
	got, err := parseTurn(newRequest(map[string]string{"X-Token-Count": "5,6"}, &opconfig.Route{}), nil)
	if err != nil || got.isAccounted() {
		t.Fatalf("%+v, %v", got, err)
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	from := http.Header{
		"X-Response-Seal": {"s"}, "Content-Type": {"text/event-stream"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"},
		"Keep-Alive": {"timeout=1"}, "Content-Length": {"9"}, "Transfer-Encoding": {"chunked"},
	}
	to := http.Header{}
	copyHeader(to, from)
	if len(to) != 2 || to.Get("X-Response-Seal") != "s" || to.Get("Content-Type") == "" {
		t.Fatalf("%v", to)
	}
}
