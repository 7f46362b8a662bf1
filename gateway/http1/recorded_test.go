package http1

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// The bytes in testdata/recorded are as the code of commit 1895881 wrote them: hosts, clients, the counter and discovery get
// these from a gateway.

const recordedRequest = "POST /result-lookup/7?a=%20b HTTP/1.1\r\nHost: front\r\nReq-Id: fc64a7745d3a91c4\r\nReq-Kind: result-lookup\r\n" +
	"X-Tier: club-basic\r\nCookie: other=1; key=00000000FFFFFFFF; last=2\r\nReq-Deadline-Ms: 240\r\n" +
	"X-Call-Terms: units=2.5,spread=3,first=1,unknown=x\r\nReq-Retry: 1\r\nConnection: keep-alive\r\nTE: trailers\r\n" +
	"Expect: 100-continue\r\nX-Other:  spaced out \r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n"

const recordedAnswer = "HTTP/1.1 200 Fine\r\nServer: host\r\nSrv-Load: outstanding=4\r\nKeep-Alive: timeout=5\r\nContent-Type: text/plain\r\n" +
	"Content-Length: 5\r\n\r\nhello"

// recordedMessages are all that a gateway writes, by the name of the recording.
func recordedMessages(t *testing.T) map[string][]byte {
	t.Helper()
	request, answer := parseComplete(t, recordedRequest, false), parseComplete(t, recordedAnswer, true)
	get := parseComplete(t, "GET /status-peek HTTP/1.1\r\nHost: front\r\nReq-Id: 1\r\n\r\n", false)
	all := map[string][]byte{
		"request":      AppendRequest(nil, request, 0.2371),
		"request-get":  AppendRequest(nil, get, 0),
		"answer":       AppendResponse(nil, answer, false),
		"answer-last":  AppendResponse(nil, answer, true),
		"counter-add":  AppendCounterAdd(nil, 1<<64-1, 0.1, 60),
		"counter-less": AppendCounterAdd(nil, 0, -12345678.25, 0.0001),
		"watch":        AppendDiscoveryWatch(AppendDiscoveryWatch(nil, 0), 1<<62),
	}
	for _, status := range []int{200, 400, 409, 413, 429, 431, 502, 503, 504} {
		all["own"] = AppendLocalResponse(AppendLocalResponse(all["own"], status, 0, false), status, 1.0625, true)
	}
	return all
}

func TestMessagesAreTheRecordedBytes(t *testing.T) {
	got := recordedMessages(t)
	files, err := filepath.Glob("testdata/recorded/*.bin")
	if err != nil || len(files) != len(got) {
		t.Fatalf("%d recordings of %d messages: %v", len(files), len(got), err)
	}
	for name, text := range got {
		want, err := os.ReadFile(filepath.Join("testdata/recorded", name+".bin"))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(text, want) {
			t.Errorf("%s: written is\n%s\nrecorded is\n%s", name, text, want)
		}
	}
}

func recorded(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata/recorded", name+".bin"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestRecordedMessagesAreRead(t *testing.T) {
	request := parseComplete(t, recorded(t, "request"), false)
	if string(request.Method) != "POST" || string(request.Target) != "/result-lookup/7?a=%20b" || string(request.Body) != "abcdefg" {
		t.Errorf("the request is read as %s %s %q", request.Method, request.Target, request.Body)
	}
	call, ok := ParseInvocation(request)
	want := Invocation{
		Ref: "fc64a7745d3a91c4", Operation: "result-lookup", Customer: "00000000ffffffff", Plan: "club-basic", Units: 2.5,
		Timeout: 0.237, GatewayCount: 3, FirstGateway: 1, Retry: true,
	}
	if !ok || !reflect.DeepEqual(call, want) {
		t.Errorf("its call is read as %+v (%v), wanted is %+v", call, ok, want)
	}
	for name, last := range map[string]bool{"answer": false, "answer-last": true} {
		if m := parseComplete(t, recorded(t, name), true); m.Status != 200 || string(m.Body) != "hello" || m.Close != last {
			t.Errorf("%s is read as %d %q, the last: %v", name, m.Status, m.Body, m.Close)
		}
	}
	checkRecordedCounterCalls(t)
	checkRecordedLocalResponses(t)
}

func checkRecordedCounterCalls(t *testing.T) {
	t.Helper()
	for name, target := range map[string]string{
		"counter-add":  "/counters/18446744073709551615?by=0.1&expire_ms=60000",
		"counter-less": "/counters/0?by=-12345678.25&expire_ms=1",
	} {
		if m := parseComplete(t, recorded(t, name), false); string(m.Method) != "POST" || string(m.Target) != target || len(m.Body) > 0 {
			t.Errorf("%s is read as %s %s", name, m.Method, m.Target)
		}
	}
}

// checkRecordedLocalResponses reads the recorded responses of a gateway's own, one behind the other.
func checkRecordedLocalResponses(t *testing.T) {
	t.Helper()
	own := recorded(t, "own")
	var m Message
	m.Reset(make([]byte, len(own)), true)
	n := copy(m.Space(), own)
	for _, status := range []int{200, 400, 409, 413, 429, 431, 502, 503, 504} {
		for _, last := range []bool{false, true} {
			complete, err := m.Advance(n)
			if !complete || err != nil || m.Status != status || m.Close != last || len(m.Body) > 0 {
				t.Fatalf("an answer of its own is read as %d, the last: %v (%v, %v)", m.Status, m.Close, complete, err)
			}
			if retry := strings.Contains(string(m.buffer[:m.restStart]), "Retry-After: 1.062\r\n"); retry != last {
				t.Errorf("the answer %d, the last: %v, says when to try again: %v", status, last, retry)
			}
			n = m.Next()
		}
	}
}
