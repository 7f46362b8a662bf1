package proxy

import (
	"net/http"
	"testing"
	"time"

	"otterseam/tier/programs"
	"otterseam/tier/rpc"
)

// A turn's connection may carry another request while the stores keep the turn. Its client must not take it along.
func TestADisconnectWhileATurnIsStoredAffectsNoOtherRequest(t *testing.T) {
	g := newTestProxy(t)
	keeping := make(chan struct{}, 8)
	g.addStore(func(kind programs.CommandKind, m rpc.Message) {
		if kind == programs.CommandEnd {
			keeping <- struct{}{} // and never an answer
		} else {
			acknowledge(m)
		}
	})
	second := make(chan hostRequest, 1)
	left := make(chan struct{})
	counted := g.addHost(func(a hostRequest) {
		if a.Header.Get("X-Request-Id") == "turn" {
			a.respond(streamOK + event(1) + lastChunk)
			return
		}
		second <- a
		<-left
		a.respond(plainOK)
	})
	first := g.dial()
	first.send("/turn/1", "turn", "Program: p\r\nX-Token-Count: 1,10\r\n", "in")
	<-keeping
	other := g.dial()
	other.send("/once/1", "other", "", "x")
	<-second
	_ = first.Close()
	<-keeping // the proxy has seen that the client left: it settles the turn for nobody
	close(left)
	if got := other.receive(); got.StatusCode != http.StatusOK || got.text != "hello" {
		t.Fatalf("%d %q", got.StatusCode, got.text)
	}
	if counted.total() != 1 {
		t.Fatalf("%d connections; the requests shared none", counted.total())
	}
}

// cancelledWithin is how soon a host's work has to end after its client has left.
const cancelledWithin = 500 * time.Millisecond

// A client that leaves ends the work of its host at once, however far its answer has come, and nothing more is sent for it.
func TestADisconnectCancelsTheWorkOfTheHost(t *testing.T) {
	for name, part := range map[string]string{
		"before the head":      "",
		"in the head":          "HTTP/1.1 200 OK\r\nX-Requ",
		"behind the head":      sealed + "Content-Length: 5\r\n\r\n",
		"in the body":          sealed + "Content-Length: 5\r\n\r\nhe",
		"in an endless body":   sealed + "\r\nhe",
		"in a stream":          streamOK + event(1),
		"in an event":          streamOK + "20\r\nid: 1\ndata: ",
		"behind interim heads": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		for _, path := range []string{"/safe/1", "/once/1", "/stream/1", "/resume/1"} {
			g := newTestProxy(t)
			reached := make(chan struct{}, 4)
			ended := make(chan time.Time, 4)
			serve := func(a hostRequest) {
				a.respond(part)
				reached <- struct{}{}
				a.awaitDisconnect()
				ended <- time.Now()
			}
			first, second := g.addHost(serve), g.addHost(serve)
			c := g.dial()
			c.send(path, "r", "", "x")
			<-reached
			left := time.Now()
			_ = c.Close()
			if took := (<-ended).Sub(left); took > cancelledWithin {
				t.Errorf("%s, %s: the host worked on for %v", path, name, took)
			}
			if total := first.total() + second.total(); total != 1 {
				t.Errorf("%s, %s: %d connections", path, name, total)
			}
		}
	}
}

// A request that hosts turn away is not sent on for a client that has left meanwhile.
func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	g := newTestProxy(t)
	reached := make(chan hostRequest, 1)
	var counted []*connections
	for range 2 {
		counted = append(counted, g.addHost(func(a hostRequest) { reached <- a; a.awaitDisconnect(); a.respond(refused) }))
	}
	c := g.dial()
	c.send("/once/1", "r", "", "x")
	<-reached
	_ = c.Close()
	g.settled()
	if counted[0].total()+counted[1].total() != 1 {
		t.Fatal("a second host was asked for nobody")
	}
}

// A client that leaves while its request is held up by the stores reaches no host.
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
	counted := g.addHost(func(a hostRequest) { a.respond(streamOK + event(1) + lastChunk) })
	c := g.dial()
	c.send("/turn/1", "turn", "Program: p\r\nX-Token-Count: 1,10\r\n", "in")
	m := <-begun
	_ = c.Close()
	g.settled()
	acknowledge(m)
	if counted.total() != 0 {
		t.Fatal("a host was asked for nobody")
	}
}

// A client that has begun its next request before it leaves is seen to leave all the same.
func TestADisconnectBehindAPipelinedRequestCancelsTheWorkOfTheHost(t *testing.T) {
	for _, further := range []string{"P", "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r2\r\nContent-Length: 1\r\n\r\nx"} {
		for _, part := range []string{"", streamOK + event(1)} {
			g := newTestProxy(t)
			reached := make(chan struct{}, 2)
			ended := make(chan time.Time, 2)
			counted := g.addHost(func(a hostRequest) {
				a.respond(part)
				reached <- struct{}{}
				a.awaitDisconnect()
				ended <- time.Now()
			})
			c := g.dial()
			c.send("/stream/1", "r1", "", "x")
			<-reached
			if _, err := c.Write([]byte(further)); err != nil {
				t.Fatal(err)
			}
			left := time.Now()
			_ = c.Close()
			if took := (<-ended).Sub(left); took > cancelledWithin {
				t.Errorf("%q, %q: the host worked on for %v", further, part, took)
			}
			g.settled()
			if counted.total() != 1 {
				t.Errorf("%q: a request was sent for a client that has gone", further)
			}
		}
	}
}
