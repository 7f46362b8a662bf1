package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// feed passes text to a message in pieces of at most piece bytes. Once the message is complete or an error occurs, it adds the
// remaining text as the rest.
func feed(text string, response bool, piece int) (*Message, bool, error) {
	m := &Message{}
	m.Reset(make([]byte, 512), response)
	for len(text) > 0 {
		if len(m.Space()) == 0 {
			m.MoveTo(make([]byte, MaxMessageBytes))
		}
		n := copy(m.Space(), text[:min(piece, len(text))])
		text = text[n:]
		complete, err := m.Advance(n)
		if !complete && err == nil {
			continue
		}
		if len(m.Space()) < len(text) {
			m.MoveTo(make([]byte, MaxMessageBytes+len(text)))
		}
		copy(m.Space(), text)
		m.end += len(text)
		return m, complete, err
	}
	return m, false, nil
}

// parseComplete parses text, which must be one complete message, in a single step.
func parseComplete(t *testing.T, text string, response bool) *Message {
	t.Helper()
	m := &Message{}
	m.Reset(make([]byte, 4096), response)
	if complete, err := m.Advance(copy(m.Space(), text)); !complete || err != nil {
		t.Fatalf("%q: complete %v, error %v", text, complete, err)
	}
	return m
}

func TestMessageParsingIsIndependentOfSplits(t *testing.T) {
	const next = "GET /next"
	for _, tc := range []struct{ name, text, body string }{
		{"no body", "GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n", ""},
		{"empty lines before", "\r\n\r\nPOST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"length given twice", "POST /a HTTP/1.1\r\nContent-Length: 2\r\ncontent-length: 2\r\n\r\nhi", "hi"},
		{
			"chunked",
			"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n", "abcde",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			check := func(how string, m *Message, complete bool, err error) {
				t.Helper()
				if !complete || err != nil || string(m.Body) != tc.body || string(m.Rest()) != next {
					t.Errorf("%s: complete %v, %v, body %q, rest %q", how, complete, err, m.Body, m.Rest())
				}
			}
			for at := range tc.text { // split into two pieces at every byte
				m := &Message{}
				m.Reset(make([]byte, 512), false)
				complete, err := m.Advance(copy(m.Space(), tc.text[:at]))
				if complete || err != nil {
					t.Errorf("complete after %d bytes: %v", at, err)
				}
				complete, err = m.Advance(copy(m.Space(), tc.text[at:]))
				m.AdvanceRest(copy(m.Space(), next))
				check(fmt.Sprint("cut at ", at), m, complete, err)
			}
			for _, piece := range []int{1, 2, 7, 1000} {
				m, complete, err := feed(tc.text+next, false, piece)
				check(fmt.Sprint("in pieces of ", piece), m, complete, err)
			}
		})
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	const chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", MaxHeadBytes)
	chunk := "8000\r\n" + strings.Repeat("y", 0x8000) + "\r\n"
	for _, tc := range []struct {
		name, text string
		want       error
	}{
		{"no version", "GET /a\r\n\r\n", ErrMalformed},
		{"no target", "GET  HTTP/1.1\r\n\r\n", ErrMalformed},
		{"method is not a token", "G(T /a HTTP/1.1\r\n\r\n", ErrMalformed},
		{"other version", "GET /a HTTP/2.0\r\n\r\n", ErrMalformed},
		{"no colon", "GET /a HTTP/1.1\r\nno colon\r\n\r\n", ErrMalformed},
		{"space before the colon", "GET /a HTTP/1.1\r\nA : b\r\n\r\n", ErrMalformed},
		{"folded line", "GET /a HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", ErrMalformed},
		{"control character", "GET /a HTTP/1.1\r\nA: b\x00c\r\n\r\n", ErrMalformed},
		{"two lengths", "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", ErrMalformed},
		{"length with a sign", "POST /a HTTP/1.1\r\nContent-Length: +1\r\n\r\n", ErrMalformed},
		{"length and chunked", "POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ErrMalformed},
		{"other coding", "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrMalformed},
		{"chunk size is not a number", chunked + "zz\r\n", ErrMalformed},
		{"chunk longer than its size", chunked + "1\r\nabc\r\n", ErrMalformed},
		{"chunk size without a carriage return", chunked + "1\nabc\r\n", ErrMalformed},
		{"chunk size without end", chunked + strings.Repeat("0", 400), ErrMalformed},
		{"body too long", "POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", ErrBodyTooLong},
		{"chunk too long", chunked + "10001\r\n", ErrBodyTooLong},
		{"chunks too long together", chunked + chunk + chunk + "1\r\nz\r\n0\r\n\r\n", ErrBodyTooLong},
		{"target too long", "GET /" + long, ErrHeadTooLong},
		{"head too long", "GET / HTTP/1.1\r\nA: " + long + "\r\n\r\n", ErrHeadTooLong},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, complete, err := feed(tc.text, false, 4096); complete || !errors.Is(err, tc.want) {
				t.Errorf("complete %v, %v, want %v", complete, err, tc.want)
			}
		})
	}
}

func TestResponseBodyLengthFollowsHead(t *testing.T) {
	m, complete, err := feed("HTTP/1.1 200 OK\r\n\r\nall of it", true, 5)
	if complete || err != nil || !m.EndOfInput() || string(m.Body) != "all of it" || !m.Close {
		t.Errorf("body until close: complete %v, %v, %q", complete, err, m.Body)
	}
	if m, _, _ = feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", true, 5); m.EndOfInput() {
		t.Error("a truncated body counts as complete")
	}
	if m, complete, _ = feed("HTTP/1.1 204 No Content\r\n\r\n", true, 5); !complete || m.Close {
		t.Error("a body is expected after status 204")
	}
	for _, text := range []string{"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "garbage\r\n\r\n"} {
		if _, complete, err = feed(text, true, 100); complete || err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func TestStreamAcceptsChunksOverBodyLimit(t *testing.T) {
	var s ChunkedStream
	text := "20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n1\r\n\n\r\n"
	got := 0
	for buffer := make([]byte, 0, 1000); len(text) > 0; {
		data, used, done, err := s.Decode(buffer, []byte(text[:min(1000, len(text))]))
		if err != nil || done || used == 0 {
			t.Fatalf("after %d bytes: done %v, error %v", got, done, err)
		}
		got += len(data)
		text = text[used:]
	}
	if got != 0x20001 {
		t.Fatalf("decoded %d bytes", got)
	}
}

// For any input, the parser does not read out of bounds, and the result does not depend on how the input is split.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(request+"GET / HTTP/1.1\r\n\r\n"), 3, false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), 1, true)
	f.Add([]byte("HTTP/1.0 503 X\r\nSrv-Declined: 1\r\n\r\nrest"), 2, true)
	f.Add([]byte("\r\nPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a\r\nabcde\r\n0\r\nX: y\r\n\r\n"), 4, false)
	f.Fuzz(func(t *testing.T, b []byte, piece int, response bool) {
		if len(b) > 16<<10 || piece < 1 {
			return
		}
		one, completeAtOnce, err1 := feed(string(b), response, len(b)+1)
		two, complete, err2 := feed(string(b), response, piece)
		if completeAtOnce != complete {
			t.Fatalf("complete %v (%v) in one piece, %v (%v) in pieces of %d", completeAtOnce, err1, complete, err2, piece)
		}
		if !complete {
			return
		}
		if string(one.Body) != string(two.Body) || string(one.Rest()) != string(two.Rest()) {
			t.Fatalf("body %q and rest %q in one piece, %q and %q in pieces of %d", one.Body, one.Rest(), two.Body, two.Rest(), piece)
		}
		if response {
			return
		}
		ParseInvocation(one)
		again, ok, err := feed(string(AppendRequest(nil, one, 1)), false, 1000)
		if !ok || err != nil || string(again.Body) != string(one.Body) {
			t.Fatalf("the written request can't be parsed: %v", err)
		}
	})
}
