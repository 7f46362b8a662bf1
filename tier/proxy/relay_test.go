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

// streamFrom answers with the events behind Last-Event-Id, up to last.
func streamFrom(a hostRequest, seal string, last int) {
	first := 1
	if id, err := strconv.Atoi(a.Header.Get("Last-Event-Id")); err == nil {
		first = id + 1
	}
	a.respond(strings.Replace(streamOK, "X-Response-Seal: s", "X-Response-Seal: "+seal, 1))
	for id := first; id <= last; id++ {
		a.respond(event(id))
	}
	a.respond(lastChunk)
}

// A resumable stream that breaks off at any byte goes on at another host inside the same answer, which keeps its head.
func TestAResumableStreamResumesWhereverItBreaksOff(t *testing.T) {
	whole := strings.Replace(streamOK, "X-Response-Seal: s", "X-Response-Seal: first", 1) + event(1) + event(2) + event(3) + lastChunk
	for length := range len(whole) {
		g := newTestProxy(t)
		var count atomic.Int64
		var head atomic.Bool
		serve := func(a hostRequest) {
			if count.Add(1) == 1 {
				text := strings.ReplaceAll(whole, "ID", a.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(a.conn, text[:length])
				head.Store(strings.Contains(text[:length], "e1\n\n"))
				_ = a.conn.Close()
				return
			}
			streamFrom(a, "second", 3)
		}
		g.addHost(serve)
		g.addHost(serve)
		got := g.dial().ask("/resume/1", "id", "", "x")
		want := "second"
		if head.Load() {
			want = "first"
		}
		if got.StatusCode != http.StatusOK || got.err != nil || got.text != events(1, 3) || got.Header.Get("X-Response-Seal") != want {
			t.Fatalf("broken at %d: %d %q %v, seal %q, want %q", length, got.StatusCode, got.text, got.err, got.Header.Get("X-Response-Seal"), want)
		}
	}
}

// A stream that may run once, and breaks off at any byte, runs once and does not look complete.
func TestAStreamThatBreaksOffDoesNotLookComplete(t *testing.T) {
	whole := streamOK + event(1) + event(2) + lastChunk
	for length := range len(whole) {
		g := newTestProxy(t)
		var count atomic.Int64
		serve := func(a hostRequest) {
			count.Add(1)
			text := strings.ReplaceAll(whole, "ID", a.Header.Get("X-Request-Id"))
			_, _ = io.WriteString(a.conn, text[:length])
			_ = a.conn.Close()
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
			t.Fatalf("broken at %d: it looks complete", length)
		}
		if count.Load() != 1 {
			t.Fatalf("broken at %d: %d runs", length, count.Load())
		}
	}
}

// A plain answer that breaks off at any byte is never passed on as a success, and what may run once runs once.
func TestAPlainResponseThatBreaksOffIsNoSuccess(t *testing.T) {
	for length := range len(plainOK) {
		for path, runs := range map[string]int64{"/once/1": 1, "/safe/1": 2} {
			g := newTestProxy(t)
			var count atomic.Int64
			serve := func(a hostRequest) {
				count.Add(1)
				text := strings.ReplaceAll(plainOK, "ID", a.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(a.conn, text[:length])
				a.reset()
			}
			for range 3 {
				g.addHost(serve)
			}
			if got := g.dial().ask(path, "id", "", "x"); got.StatusCode < http.StatusInternalServerError || count.Load() != runs {
				t.Fatalf("%s broken at %d: %d after %d runs", path, length, got.StatusCode, count.Load())
			}
		}
	}
}

// Without ids it is not known where a stream goes on: it is cut off, and no second run follows.
func TestAStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	g := newTestProxy(t)
	var count atomic.Int64
	serve := func(a hostRequest) {
		count.Add(1)
		a.respond(streamOK + "b\r\ndata: old\n\n\r\n")
		_ = a.conn.Close()
	}
	g.addHost(serve)
	g.addHost(serve)
	got := g.dial().ask("/resume/1", "id", "", "x")
	if got.err == nil || count.Load() != 1 {
		t.Fatalf("%v after %d runs", got.err, count.Load())
	}
}

// An unsolicited response, whenever it comes, reaches nobody.
func TestAnUnsolicitedResponseReachesNobody(t *testing.T) {
	unsolicited := strings.Replace(plainOK, "hello", "wrong", 1)
	for name, test := range map[string]func(a hostRequest){
		"right behind": func(a hostRequest) { a.respond(plainOK + unsolicited) },
		"in its own write": func(a hostRequest) {
			a.respond(plainOK)
			a.respond(unsolicited)
		},
	} {
		g := newTestProxy(t)
		g.addHost(test)
		c := g.dial()
		for i := range 200 {
			if got := c.ask("/once/1", fmt.Sprint("r", i), "", "x"); got.StatusCode != http.StatusOK || got.text != "hello" ||
				got.Header.Get("X-Request-Id") != fmt.Sprint("r", i) {
				t.Fatalf("%s, request %d: %d %q for %q", name, i, got.StatusCode, got.text, got.Header.Get("X-Request-Id"))
			}
		}
	}
}

// A stream that ends with its connection is whole only if it ends behind an event.
func TestAStreamWithoutALengthThatEndsInsideAnEventIsIncomplete(t *testing.T) {
	text := "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	for length := range len(text) + 1 {
		g := newTestProxy(t)
		g.addHost(func(a hostRequest) {
			a.respond(sealed + "\r\n" + text[:length])
			_ = a.conn.Close()
		})
		c := g.dial()
		c.send("/stream/1", "id", "", "x")
		response, err := http.ReadResponse(c.reader, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		looksWhole := err == nil && response.StatusCode == http.StatusOK
		if behindEvent := length%(len(text)/2) == 0; looksWhole != behindEvent {
			t.Fatalf("ended at %d of %d: it looks whole: %v", length, len(text), looksWhole)
		}
	}
}

// A client that takes up a stream itself gets what follows, from whichever host.
func TestAClientResumesAStreamItself(t *testing.T) {
	g := newTestProxy(t)
	g.addHost(func(a hostRequest) { streamFrom(a, "s", 4) })
	if got := g.dial().ask("/resume/1", "id", "Last-Event-Id: 2\r\n", "x"); got.text != events(3, 4) || got.err != nil {
		t.Fatalf("%q, %v", got.text, got.err)
	}
}

// A stream ends with its route's time, also if its host goes on and its client does not read.
func TestAStreamEndsAtItsRouteTimeout(t *testing.T) {
	for _, reading := range []bool{true, false} {
		g := newTestProxy(t)
		ended := make(chan time.Time, 1)
		g.addHost(func(a hostRequest) {
			a.respond(streamOK)
			text := strings.Repeat("x", 1<<20)
			for id := 1; ; id++ {
				data := fmt.Sprintf("id: %d\ndata: %s\n\n", id, text)
				if _, err := fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(data), data); err != nil {
					ended <- time.Now()
					return
				}
			}
		})
		c := g.dial()
		_ = c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10) // so that a client that does not read holds up the proxy
		begun := time.Now()
		c.send("/glimpse/1", "id", "", "x")
		if reading {
			if got := c.receive(); got.StatusCode == http.StatusOK && got.err == nil {
				t.Error("a stream that was ended by time looks whole")
			}
		}
		if took := (<-ended).Sub(begun); took > 560*time.Millisecond {
			t.Errorf("reading %v: the host worked for %v", reading, took)
		}
		g.settled()
		if took := time.Since(begun); took > 2*time.Second {
			t.Errorf("reading %v: the request lasted %v", reading, took)
		}
	}
}
