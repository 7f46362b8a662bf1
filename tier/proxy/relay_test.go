package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// streamFrom responds with the events after Last-Event-Id, up to last.
func streamFrom(r hostRequest, seal string, last int) {
	first := 1
	if id, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = id + 1
	}
	r.respond(strings.Replace(streamOK, "X-Response-Seal: s", "X-Response-Seal: "+seal, 1))
	for id := first; id <= last; id++ {
		r.respond(event(id))
	}
	r.respond(lastChunk)
}

// A resumable stream that is interrupted at any byte continues at another host within the same response, which keeps its head.
func TestAResumableStreamResumesWhereverItIsInterrupted(t *testing.T) {
	whole := strings.Replace(streamOK, "X-Response-Seal: s", "X-Response-Seal: first", 1) + event(1) + event(2) + event(3) + lastChunk
	for length := range len(whole) {
		g := newTestProxy(t)
		var count atomic.Int64
		var head atomic.Bool
		serve := func(r hostRequest) {
			if count.Add(1) == 1 {
				text := strings.ReplaceAll(whole, "ID", r.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(r.conn, text[:length])
				head.Store(strings.Contains(text[:length], "e1\n\n"))
				_ = r.conn.Close()
				return
			}
			streamFrom(r, "second", 3)
		}
		g.addHost(serve)
		g.addHost(serve)
		got := g.dial().roundTrip("/resume/1", "id", "", "x")
		want := "second"
		if head.Load() {
			want = "first"
		}
		if got.StatusCode != http.StatusOK || got.err != nil || got.text != events(1, 3) || got.Header.Get("X-Response-Seal") != want {
			t.Fatalf("interrupted at %d: %d %q %v, seal %q, want %q", length, got.StatusCode, got.text, got.err, got.Header.Get("X-Response-Seal"), want)
		}
	}
}

// A stream that may run only once and is interrupted at any byte runs once and does not look complete.
func TestAnInterruptedStreamDoesNotLookComplete(t *testing.T) {
	whole := streamOK + event(1) + event(2) + lastChunk
	for length := range len(whole) {
		g := newTestProxy(t)
		var count atomic.Int64
		serve := func(r hostRequest) {
			count.Add(1)
			text := strings.ReplaceAll(whole, "ID", r.Header.Get("X-Request-Id"))
			_, _ = io.WriteString(r.conn, text[:length])
			_ = r.conn.Close()
		}
		g.addHost(serve)
		g.addHost(serve)
		c := g.dial()
		c.send("/stream/1", "id", "", "x")
		response, err := http.ReadResponse(c.reader, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		if err == nil && response.StatusCode == http.StatusOK {
			t.Fatalf("interrupted at %d: the response looks complete", length)
		}
		if count.Load() != 1 {
			t.Fatalf("interrupted at %d: %d runs", length, count.Load())
		}
	}
}

// A plain response that is interrupted at any byte is never forwarded as a success, and a request that may run only once runs once.
func TestAnInterruptedPlainResponseIsNoSuccess(t *testing.T) {
	for length := range len(plainOK) {
		for path, runs := range map[string]int64{"/once/1": 1, "/safe/1": 2} {
			g := newTestProxy(t)
			var count atomic.Int64
			serve := func(r hostRequest) {
				count.Add(1)
				text := strings.ReplaceAll(plainOK, "ID", r.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(r.conn, text[:length])
				r.reset()
			}
			for range 3 {
				g.addHost(serve)
			}
			if got := g.dial().roundTrip(path, "id", "", "x"); got.StatusCode < http.StatusInternalServerError || count.Load() != runs {
				t.Fatalf("%s interrupted at %d: %d after %d runs", path, length, got.StatusCode, count.Load())
			}
		}
	}
}

// A stream without event IDs cannot be resumed, so its response is aborted and no second host runs the request.
func TestAStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	g := newTestProxy(t)
	var count atomic.Int64
	serve := func(r hostRequest) {
		count.Add(1)
		r.respond(streamOK + "b\r\ndata: old\n\n\r\n")
		_ = r.conn.Close()
	}
	g.addHost(serve)
	g.addHost(serve)
	got := g.dial().roundTrip("/resume/1", "id", "", "x")
	if got.err == nil || count.Load() != 1 {
		t.Fatalf("%v after %d runs", got.err, count.Load())
	}
}

// An unsolicited response of a host is never forwarded to a client, regardless of when it arrives.
func TestAnUnsolicitedResponseReachesNoClient(t *testing.T) {
	unsolicited := strings.Replace(plainOK, "hello", "wrong", 1)
	for name, test := range map[string]func(r hostRequest){
		"right after the response": func(r hostRequest) { r.respond(plainOK + unsolicited) },
		"in its own write": func(r hostRequest) {
			r.respond(plainOK)
			r.respond(unsolicited)
		},
	} {
		g := newTestProxy(t)
		g.addHost(test)
		c := g.dial()
		for i := range 200 {
			if got := c.roundTrip("/once/1", fmt.Sprint("r", i), "", "x"); got.StatusCode != http.StatusOK || got.text != "hello" ||
				got.Header.Get("X-Request-Id") != fmt.Sprint("r", i) {
				t.Fatalf("%s, request %d: %d %q for %q", name, i, got.StatusCode, got.text, got.Header.Get("X-Request-Id"))
			}
		}
	}
}

// A stream that ends when its connection closes is complete only if it ends after a complete event.
func TestAStreamWithoutALengthThatEndsInsideAnEventIsIncomplete(t *testing.T) {
	text := "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	for length := range len(text) + 1 {
		g := newTestProxy(t)
		g.addHost(func(r hostRequest) {
			r.respond(sealed + "\r\n" + text[:length])
			_ = r.conn.Close()
		})
		c := g.dial()
		c.send("/stream/1", "id", "", "x")
		response, err := http.ReadResponse(c.reader, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		looksComplete := err == nil && response.StatusCode == http.StatusOK
		if afterEvent := length%(len(text)/2) == 0; looksComplete != afterEvent {
			t.Fatalf("ended at %d of %d: it looks complete: %v", length, len(text), looksComplete)
		}
	}
}

// A client that resumes a stream with Last-Event-Id receives the events after that ID, from any host.
func TestAClientResumesAStreamItself(t *testing.T) {
	g := newTestProxy(t)
	g.addHost(func(r hostRequest) { streamFrom(r, "s", 4) })
	if got := g.dial().roundTrip("/resume/1", "id", "Last-Event-Id: 2\r\n", "x"); got.text != events(3, 4) || got.err != nil {
		t.Fatalf("%q, %v", got.text, got.err)
	}
}

// A stream ends at its route's timeout, even if its host continues to send and its client does not read.
func TestAStreamEndsAtItsRouteTimeout(t *testing.T) {
	for _, reading := range []bool{true, false} {
		g := newTestProxy(t)
		ended := make(chan time.Time, 1)
		g.addHost(func(r hostRequest) {
			r.respond(streamOK)
			text := strings.Repeat("x", 1<<20)
			for id := 1; ; id++ {
				data := fmt.Sprintf("id: %d\ndata: %s\n\n", id, text)
				if _, err := fmt.Fprintf(r.conn, "%x\r\n%s\r\n", len(data), data); err != nil {
					ended <- time.Now()
					return
				}
			}
		})
		c := g.dial()
		_ = c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10) // small, so that a client that does not read blocks the proxy's writes
		started := time.Now()
		c.send("/glimpse/1", "id", "", "x")
		if reading {
			if got := c.receive(); got.StatusCode == http.StatusOK && got.err == nil {
				t.Error("a stream that ended at its timeout looks complete")
			}
		}
		if took := (<-ended).Sub(started); took > 560*time.Millisecond {
			t.Errorf("reading %v: the host ran the request for %v", reading, took)
		}
		g.awaitIdle()
		if took := time.Since(started); took > 2*time.Second {
			t.Errorf("reading %v: the request lasted %v", reading, took)
		}
	}
}
