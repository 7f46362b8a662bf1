package proxy

import (
	"net/http"
	"testing"
	"time"

	"otterseam/tier/programs"
	"otterseam/tier/rpc"
)

// While the stores make a turn durable, its connection to the host may already carry another request. A disconnect of the turn's
// client must not cancel that request.
func TestADisconnectWhileATurnIsStoredAffectsNoOtherRequest(t *testing.T) {
	g := newTestProxy(t)
	ending := make(chan struct{}, 8)
	g.addStore(func(kind programs.CommandKind, m rpc.Message) {
		if kind == programs.CommandEnd {
			ending <- struct{}{} // never answered
		} else {
			acknowledge(m)
		}
	})
	second := make(chan hostRequest, 1)
	disconnected := make(chan struct{})
	conns := g.addHost(func(r hostRequest) {
		if r.Header.Get("X-Request-Id") == "turn" {
			r.respond(streamOK + event(1) + lastChunk)
			return
		}
		second <- r
		<-disconnected
		r.respond(plainOK)
	})
	first := g.dial()
	first.send("/turn/1", "turn", "Program: p\r\nX-Token-Count: 1,10\r\n", "in")
	<-ending
	other := g.dial()
	other.send("/once/1", "other", "", "x")
	<-second
	_ = first.Close()
	<-ending // the proxy has detected the disconnect and settles the turn in the background
	close(disconnected)
	if got := other.receive(); got.StatusCode != http.StatusOK || got.text != "hello" {
		t.Fatalf("%d %q", got.StatusCode, got.text)
	}
	if conns.total() != 1 {
		t.Fatalf("%d connections; the requests did not share one", conns.total())
	}
}

// cancelledWithin is the time limit for cancelling a request at its host after its client has disconnected.
const cancelledWithin = 500 * time.Millisecond

// When a client disconnects, its request at the host is cancelled at once, at any point of the response, and not sent to another host.
func TestADisconnectCancelsTheRequestAtTheHost(t *testing.T) {
	for name, part := range map[string]string{
		"before the head":      "",
		"in the head":          "HTTP/1.1 200 OK\r\nX-Requ",
		"after the head":       sealed + "Content-Length: 5\r\n\r\n",
		"in the body":          sealed + "Content-Length: 5\r\n\r\nhe",
		"in an unlimited body": sealed + "\r\nhe",
		"in a stream":          streamOK + event(1),
		"in an event":          streamOK + "20\r\nid: 1\ndata: ",
		"after interim heads":  "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		for _, path := range []string{"/safe/1", "/once/1", "/stream/1", "/resume/1"} {
			g := newTestProxy(t)
			reached := make(chan struct{}, 4)
			ended := make(chan time.Time, 4)
			serve := func(r hostRequest) {
				r.respond(part)
				reached <- struct{}{}
				r.awaitDisconnect()
				ended <- time.Now()
			}
			first, second := g.addHost(serve), g.addHost(serve)
			c := g.dial()
			c.send(path, "r", "", "x")
			<-reached
			disconnectedAt := time.Now()
			_ = c.Close()
			if took := (<-ended).Sub(disconnectedAt); took > cancelledWithin {
				t.Errorf("%s, %s: the request was cancelled at the host after %v", path, name, took)
			}
			if total := first.total() + second.total(); total != 1 {
				t.Errorf("%s, %s: %d connections", path, name, total)
			}
		}
	}
}

// A request that a host rejects is not sent to another host if its client has disconnected in the meantime.
func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	g := newTestProxy(t)
	reached := make(chan hostRequest, 1)
	var conns []*connections
	for range 2 {
		conns = append(conns, g.addHost(func(r hostRequest) { reached <- r; r.awaitDisconnect(); r.respond(refused) }))
	}
	c := g.dial()
	c.send("/once/1", "r", "", "x")
	<-reached
	_ = c.Close()
	g.awaitIdle()
	if conns[0].total()+conns[1].total() != 1 {
		t.Fatal("the request of a disconnected client was sent to a second host")
	}
}

// A turn is sent to no host if its client disconnects while the stores have not answered the begin command.
func TestADisconnectBeforeATurnBeginsReachesNoHost(t *testing.T) {
	g := newTestProxy(t)
	begun := make(chan rpc.Message, 4)
	g.addStore(func(kind programs.CommandKind, m rpc.Message) {
		if kind == programs.CommandBegin {
			begun <- m
		} else {
			acknowledge(m)
		}
	})
	conns := g.addHost(func(r hostRequest) { r.respond(streamOK + event(1) + lastChunk) })
	c := g.dial()
	c.send("/turn/1", "turn", "Program: p\r\nX-Token-Count: 1,10\r\n", "in")
	m := <-begun
	_ = c.Close()
	g.awaitIdle()
	acknowledge(m)
	if conns.total() != 0 {
		t.Fatal("the turn of a disconnected client was sent to a host")
	}
}

// A disconnect is detected even if the client has sent part or all of its next request before it.
func TestADisconnectAfterAPipelinedRequestCancelsTheRequestAtTheHost(t *testing.T) {
	for _, further := range []string{"P", "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r2\r\nContent-Length: 1\r\n\r\nx"} {
		for _, part := range []string{"", streamOK + event(1)} {
			g := newTestProxy(t)
			reached := make(chan struct{}, 2)
			ended := make(chan time.Time, 2)
			conns := g.addHost(func(r hostRequest) {
				r.respond(part)
				reached <- struct{}{}
				r.awaitDisconnect()
				ended <- time.Now()
			})
			c := g.dial()
			c.send("/stream/1", "r1", "", "x")
			<-reached
			if _, err := c.Write([]byte(further)); err != nil {
				t.Fatal(err)
			}
			disconnectedAt := time.Now()
			_ = c.Close()
			if took := (<-ended).Sub(disconnectedAt); took > cancelledWithin {
				t.Errorf("%q, %q: the request was cancelled at the host after %v", further, part, took)
			}
			g.awaitIdle()
			if conns.total() != 1 {
				t.Errorf("%q: a request of a disconnected client was sent", further)
			}
		}
	}
}
