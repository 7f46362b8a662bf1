package http1

import (
	"errors"
	"strings"
	"testing"
)

// feed gives m the text in pieces of so many bytes.
func feed(text string, response bool, piece int) (*Message, bool, error) {
	m := &Message{}
	m.Reset(make([]byte, 512), response)
	for len(text) > 0 {
		if len(m.Space()) == 0 {
			m.MoveTo(make([]byte, MaxMessageBytes))
		}
		n := copy(m.Space(), text[:min(piece, len(text))])
		text = text[n:]
		if whole, err := m.Advance(n); whole || err != nil {
			if len(m.Space()) < len(text) {
				m.MoveTo(make([]byte, MaxMessageBytes+len(text)))
			}
			copy(m.Space(), text)
			m.end += len(text)
			return m, whole, err
		}
	}
	return m, false, nil
}

func TestMessagesComeWholeHoweverTheyAreCut(t *testing.T) {
	for text, want := range map[string]string{
		"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n":                                                             "",
		"\r\n\r\nPOST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello":                                         "hello",
		"POST /a HTTP/1.1\r\nContent-Length: 2\r\ncontent-length: 2\r\n\r\nhi":                               "hi",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n": "abcde",
	} {
		for at := range text { // in two pieces, at every byte
			m := &Message{}
			m.Reset(make([]byte, 512), false)
			whole, err := m.Advance(copy(m.Space(), text[:at]))
			if whole || err != nil {
				t.Errorf("%q is whole at %d: %v", text, at, err)
			}
			whole, err = m.Advance(copy(m.Space(), text[at:]))
			if m.AdvanceRest(copy(m.Space(), "GET /next")); !whole || err != nil || string(m.Body) != want || string(m.Rest()) != "GET /next" {
				t.Errorf("%q cut at %d: %v %v %q %q", text, at, whole, err, m.Body, m.Rest())
			}
		}
		for _, piece := range []int{1, 2, 7, 1000} {
			m, whole, err := feed(text+"GET /next", false, piece)
			if !whole || err != nil || string(m.Body) != want || string(m.Rest()) != "GET /next" {
				t.Errorf("%q by %d: whole %v, %v, body %q, rest %q", text, piece, whole, err, m.Body, m.Rest())
			}
		}
	}
}

func TestMalformedRequestsAreNamed(t *testing.T) {
	long := strings.Repeat("x", MaxHeadBytes)
	for text, want := range map[string]error{
		"GET /a\r\n\r\n":                                                                    ErrMalformed,
		"GET  HTTP/1.1\r\n\r\n":                                                             ErrMalformed,
		"G(T /a HTTP/1.1\r\n\r\n":                                                           ErrMalformed,
		"GET /a HTTP/2.0\r\n\r\n":                                                           ErrMalformed,
		"GET /a HTTP/1.1\r\nno colon\r\n\r\n":                                               ErrMalformed,
		"GET /a HTTP/1.1\r\nA : b\r\n\r\n":                                                  ErrMalformed,
		"GET /a HTTP/1.1\r\nA: b\r\n folded\r\n\r\n":                                        ErrMalformed,
		"GET /a HTTP/1.1\r\nA: b\x00c\r\n\r\n":                                              ErrMalformed,
		"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":                ErrMalformed,
		"POST /a HTTP/1.1\r\nContent-Length: +1\r\n\r\n":                                    ErrMalformed,
		"POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":       ErrMalformed,
		"POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                      ErrMalformed,
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                      ErrMalformed,
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n":                ErrMalformed,
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\nabc\r\n":                  ErrMalformed,
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 400): ErrMalformed,
		"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":                                 ErrBodyTooLong,
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n":                   ErrBodyTooLong,
		"GET /" + long: ErrHeadTooLong,
		"GET / HTTP/1.1\r\nA: " + long + "\r\n\r\n": ErrHeadTooLong,
	} {
		if _, whole, err := feed(text, false, 4096); whole || !errors.Is(err, want) {
			t.Errorf("%.70q: whole %v, %v, want %v", text, whole, err, want)
		}
	}
	chunk := "8000\r\n" + strings.Repeat("y", 0x8000) + "\r\n"
	text := "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "1\r\nz\r\n0\r\n\r\n"
	if _, whole, err := feed(text, false, 4096); whole || err != ErrBodyTooLong {
		t.Errorf("chunks over the limit together: whole %v, %v", whole, err)
	}
}

func TestResponsesEndAsTheirHeadSays(t *testing.T) {
	m, whole, err := feed("HTTP/1.1 200 OK\r\n\r\nall of it", true, 5)
	if whole || err != nil || !m.EndOfInput() || string(m.Body) != "all of it" || !m.Close {
		t.Errorf("until the end: whole %v, %v, %q", whole, err, m.Body)
	}
	if m, _, _ = feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", true, 5); m.EndOfInput() {
		t.Error("a body cut short counts as whole")
	}
	if m, whole, _ = feed("HTTP/1.1 204 No Content\r\n\r\n", true, 5); !whole || m.Close {
		t.Error("no body is expected after 204")
	}
	for _, text := range []string{"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "garbage\r\n\r\n"} {
		if _, whole, err = feed(text, true, 100); whole || err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

const request = "POST /pay/x?y=2 HTTP/1.1\r\nHost: app\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Kind: pay\r\nX-Tier: team\r\n" +
	"Cookie: a=b; key=00000000b4d65521\r\nReq-Deadline-Ms: 480\r\nConnection: close\r\nContent-Length: 2\r\n" +
	"X-Call-Terms: units=2.5,later=9,spread=3,first=1\r\n\r\nhi"

// A stream's chunks may be longer than any body.
func TestAStreamOfLongChunks(t *testing.T) {
	var l ChunkedStream
	text := "20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n1\r\n\n\r\n"
	got := 0
	for room := make([]byte, 0, 1000); len(text) > 0; {
		data, used, done, err := l.Decode(room, []byte(text[:min(1000, len(text))]))
		if err != nil || done || used == 0 {
			t.Fatalf("after %d: %v %v", got, done, err)
		}
		got, text = got+len(data), text[used:]
	}
	if got != 0x20001 {
		t.Fatalf("%d bytes", got)
	}
}

func TestCallIsReadFromTheHead(t *testing.T) {
	m, _, _ := feed(request, false, 100)
	c, ok := ParseInvocation(m)
	want := Invocation{
		Ref: "9b1f03aa5c7e2d41", Operation: "pay", Customer: "00000000b4d65521", Plan: "team", Units: 2.5,
		Timeout: 0.48, GatewayCount: 3, FirstGateway: 1,
	}
	if !ok || c != want || !m.Close {
		t.Fatalf("got %+v, %v", c, ok)
	}
	got := string(AppendRequest(nil, m, 0.3))
	for _, part := range []string{
		"POST /pay/x?y=2 HTTP/1.1\r\n", "Req-Id: 9b1f03aa5c7e2d41\r\n",
		"Req-Deadline-Ms: 300\r\n", "Content-Length: 2\r\n\r\nhi",
	} {
		if strings.Count(got, part) != 1 {
			t.Errorf("%q stands not once in %q", part, got)
		}
	}
	if strings.Contains(got, "Connection") {
		t.Errorf("a field of one connection was passed on: %q", got)
	}
}

func TestCallsThatMakeNoSense(t *testing.T) {
	for from, to := range map[string]string{
		"Req-Id: 9b1f03aa5c7e2d41": "A: b", "Req-Kind: pay": "Req-Kind: buy", "X-Tier: team": "A: b",
		"key=00000000b4d65521": "key=b4d65521", "00000000b4": "0000000fb4", "b4d65521": "b4d6552x",
		"Ms: 480": "Ms: 0", "Ms: 48": "Ms: -48", "units=2.5": "units=NaN", "units": "onions", "spread=3": "spread=0",
		"first=1": "first=-1", ",first=1": "", "2.5": "1e99",
	} {
		m, whole, err := feed(strings.Replace(request, from, to, 1), false, 1000)
		if c, ok := ParseInvocation(m); ok || !whole || err != nil {
			t.Errorf("%s for %s was taken: %+v (%v, %v)", to, from, c, whole, err)
		}
	}
}

func TestDeclinedProvesNotRun(t *testing.T) {
	for text, want := range map[string]bool{
		"503 X\r\nSrv-Declined: 1": true, "504 X\r\nsrv-declined: 1": true,
		"503 X": false, "500 X\r\nSrv-Declined: 1": false, "503 X\r\nSrv-Declined: 0": false,
	} {
		if m, _, _ := feed("HTTP/1.1 "+text+"\r\n\r\n", true, 1000); Declined(m) != want {
			t.Errorf("%q: want %v", text, want)
		}
	}
}

func TestCallsToTheCounterAreExact(t *testing.T) {
	want := "POST /counters/18446744073709551615?by=-2.5&expire_ms=4000 HTTP/1.1\r\n"
	if got := string(AppendCounterAdd(nil, 1<<64-1, -2.5, 4)); !strings.HasPrefix(got, want) {
		t.Errorf("got %q", got)
	}
}

// Whatever comes, in whatever pieces: nothing is read out of bounds, and the pieces do not change what is understood.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(request+"GET / HTTP/1.1\r\n\r\n"), 3, false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), 1, true)
	f.Add([]byte("HTTP/1.0 503 X\r\nSrv-Declined: 1\r\n\r\nrest"), 2, true)
	f.Add([]byte("\r\nPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a\r\nabcde\r\n0\r\nX: y\r\n\r\n"), 4, false)
	f.Fuzz(func(t *testing.T, b []byte, piece int, response bool) {
		if len(b) > 16<<10 || piece < 1 {
			return
		}
		one, whole1, err1 := feed(string(b), response, len(b)+1)
		two, whole2, err2 := feed(string(b), response, piece)
		if whole1 != whole2 || whole1 && (string(one.Body) != string(two.Body) || string(one.Rest()) != string(two.Rest())) {
			t.Fatalf("whole %v (%v) at once, %v (%v) by %d", whole1, err1, whole2, err2, piece)
		}
		if whole1 && !response {
			ParseInvocation(one)
			if again, ok, err := feed(string(AppendRequest(nil, one, 1)), false, 1000); !ok || err != nil ||
				string(again.Body) != string(one.Body) {
				t.Fatalf("what is written can't be read: %v", err)
			}
		}
	})
}
