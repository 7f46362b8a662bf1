package rpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterseam/tier/codes"
)

// peer is the other end of a connection, frame by frame.
type peer struct {
	net.Conn
	reader *bufio.Reader
}

// listen accepts connections as peers.
func listen(t *testing.T, address string) (string, <-chan *peer) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), accept(listener)
}

func accept(listener net.Listener) <-chan *peer {
	peers := make(chan *peer, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			peers <- &peer{conn, bufio.NewReader(conn)}
		}
	}()
	return peers
}

// next reads a call.
func (p *peer) next(t testing.TB) header {
	t.Helper()
	h, _, err := readFrame(p.reader)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// answer answers the call of such an id, asked for or not.
func (p *peer) answer(id uint64, text string) {
	_, _ = p.Write(appendFrame(nil, header{Kind: kindAnswer, ID: id}, []byte(text)))
}

// called is what a call got.
type called struct {
	text string
	err  error
}

func call(ctx context.Context, client *Client) <-chan called {
	got := make(chan called, 1)
	go func() {
		answer, err := client.Call(ctx, kindEcho, nil)
		got <- called{string(answer), err}
	}()
	return got
}

// The answer to a call that nobody waits for any more reaches no later call.
func TestLateAnswerReachesNoLaterCall(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	client := NewClient(address, nil)
	defer client.Close()
	ctx, leave := context.WithCancel(context.Background())
	first := call(ctx, client)
	host := <-peers
	late := host.next(t)
	leave()
	if got := <-first; !errors.Is(got.err, codes.Timeout) {
		t.Fatal(got.err)
	}
	second := call(limited(t, 10*time.Second), client)
	asked := host.next(t)
	if asked.ID == late.ID {
		t.Fatalf("two calls have the id %d", asked.ID)
	}
	host.answer(late.ID, "late")
	host.answer(asked.ID, "its own")
	host.answer(asked.ID, "twice")
	if got := <-second; got.err != nil || got.text != "its own" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	third := call(limited(t, 10*time.Second), client)
	asked = host.next(t)
	host.answer(late.ID, "late again")
	host.answer(asked.ID, "third")
	if got := <-third; got.text != "third" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	conn, err := client.connect(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if len(conn.pending) != 0 {
		t.Fatalf("%d calls that have ended are still known", len(conn.pending))
	}
}

// An answer to no call is dropped, and the connection goes on.
func TestAnswerToNoCallIsDropped(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	client := NewClient(address, nil)
	defer client.Close()
	got := call(limited(t, 10*time.Second), client)
	host := <-peers
	asked := host.next(t)
	for _, id := range []uint64{0, asked.ID + 1, asked.ID - 1, 1 << 63} {
		host.answer(id, "unasked")
	}
	host.answer(asked.ID, "asked")
	if got := <-got; got.err != nil || got.text != "asked" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	// the id that was answered before its call existed
	again := call(limited(t, 10*time.Second), client)
	asked = host.next(t)
	host.answer(asked.ID, "again")
	if got := <-again; got.text != "again" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
}

// A process that takes the place of another one at its address answers its own calls; the former one's answers reach nobody.
func TestAnswerOfAnEarlierProcessReachesNoCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	client := NewClient(address, nil)
	defer client.Close()
	former := accept(listener)
	before := call(limited(t, 10*time.Second), client)
	host := <-former
	lost := host.next(t)
	_ = listener.Close()
	host.answer(lost.ID, "in time")
	if got := <-before; got.text != "in time" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	conn, err := client.connect(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	during := call(limited(t, 10*time.Second), client)
	unanswered := host.next(t)
	_ = host.CloseWrite()
	if got := <-during; !errors.Is(got.err, codes.LinkBroken) {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	<-conn.Done()
	_, later := listen(t, address)
	after := call(limited(t, 10*time.Second), client)
	successor := <-later
	asked := successor.next(t)
	host.answer(asked.ID, "of the former process")
	host.answer(unanswered.ID, "of the former process")
	successor.answer(asked.ID, "of its successor")
	if got := <-after; got.err != nil || got.text != "of its successor" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
}

// CloseWrite ends the sending side.
func (p *peer) CloseWrite() error { return p.Conn.(*net.TCPConn).CloseWrite() }

// A call whose caller has gone is not sent.
func TestCallWhoseCallerHasGoneIsNotSent(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	client := NewClient(address, nil)
	defer client.Close()
	conn, err := client.connect(limited(t, 10*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	ctx, leave := context.WithCancel(context.Background())
	leave()
	if _, err := conn.Call(ctx, kindRefuse, nil); !errors.Is(err, codes.Timeout) {
		t.Fatal(err)
	}
	got := call(limited(t, 10*time.Second), client)
	host := <-peers
	asked := host.next(t)
	if asked.Kind != kindEcho {
		t.Fatalf("a call of kind %d was sent for nobody", asked.Kind)
	}
	host.answer(asked.ID, "")
	<-got
}

// A client that is closed while it connects leaves no connection behind.
func TestClosedClientConnectsNoMore(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	client := NewClient(address, nil)
	client.mu.Lock()
	dialled := client.startDialLocked()
	client.mu.Unlock()
	client.Close()
	<-dialled
	host := <-peers
	if _, _, err := readFrame(host.reader); err == nil {
		t.Fatal("a frame came from a closed client")
	}
	if _, err := client.Call(limited(t, 10*time.Second), kindEcho, nil); !errors.Is(err, codes.LinkBroken) {
		t.Fatal(err)
	}
}

// matching is a random life of a client: calls, answers in any order, doubled and unasked ones, callers that go, connections
// that end.
type matching struct {
	client  *Client
	peers   <-chan *peer
	host    *peer
	asked   map[uint64]string // calls that the host has, by id
	waiting map[string]*pending
	nextID  int
	old     []uint64 // ids that were answered or given up on the connection
}

type pending struct {
	got   <-chan called
	leave context.CancelFunc
	id    uint64
}

func TestEachCallGetsItsOwnAnswerOrNone(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	rapid.Check(t, func(rt *rapid.T) {
		client := NewClient(address, nil)
		m := &matching{client: client, peers: peers, asked: map[uint64]string{}, waiting: map[string]*pending{}}
		defer func() {
			client.Close()
			for _, call := range m.waiting {
				<-call.got
				call.leave()
			}
		}()
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				m.call(rt)
			case 2:
				m.answer(rt)
			case 3:
				m.surplus()
			case 4:
				m.leave(rt)
			case 5:
				m.reconnect(rt)
			}
		}
	})
}

func (m *matching) call(rt *rapid.T) {
	m.nextID++
	name := fmt.Sprint("call ", m.nextID)
	ctx, leave := context.WithTimeout(context.Background(), 10*time.Second)
	got := make(chan called, 1)
	go func() {
		answer, err := m.client.Call(ctx, kindEcho, []byte(name))
		got <- called{string(answer), err}
	}()
	if m.host == nil {
		m.host = <-m.peers
	}
	h, payload, err := readFrame(m.host.reader)
	if err != nil || string(payload) != name {
		rt.Fatalf("the host got %q, %v", payload, err)
	}
	if _, used := m.asked[h.ID]; used || h.ID == 0 {
		rt.Fatalf("the id %d is used twice", h.ID)
	}
	m.asked[h.ID] = name
	m.waiting[name] = &pending{got, leave, h.ID}
}

// some draws one of the calls that wait.
func (m *matching) some(rt *rapid.T) (string, *pending) {
	for id := 1; id <= m.nextID; id++ {
		name := fmt.Sprint("call ", id)
		if call := m.waiting[name]; call != nil && (rapid.Bool().Draw(rt, "this one") || len(m.waiting) == 1) {
			return name, call
		}
	}
	return "", nil
}

func (m *matching) answer(rt *rapid.T) {
	name, call := m.some(rt)
	if call == nil {
		return
	}
	m.host.answer(call.id, name)
	if got := <-call.got; got.err != nil || got.text != name {
		rt.Fatalf("%s got %q, %v", name, got.text, got.err)
	}
	m.over(name, call)
}

func (m *matching) over(name string, call *pending) {
	call.leave()
	delete(m.waiting, name)
	m.old = append(m.old, call.id)
}

func (m *matching) surplus() {
	if m.host == nil {
		return
	}
	for _, id := range append(m.old, 1<<40) {
		m.host.answer(id, "surplus")
	}
}

func (m *matching) leave(rt *rapid.T) {
	name, call := m.some(rt)
	if call == nil {
		return
	}
	call.leave()
	if got := <-call.got; !errors.Is(got.err, codes.Timeout) {
		rt.Fatalf("%s got %q, %v", name, got.text, got.err)
	}
	m.over(name, call)
}

func (m *matching) reconnect(rt *rapid.T) {
	if m.host == nil {
		return
	}
	conn, err := m.client.connect(context.Background())
	if err != nil {
		rt.Fatal(err)
	}
	_ = m.host.Close()
	<-conn.Done()
	for name, call := range m.waiting {
		if got := <-call.got; !errors.Is(got.err, codes.LinkBroken) {
			rt.Fatalf("%s got %q, %v", name, got.text, got.err)
		}
		call.leave()
		delete(m.waiting, name)
	}
	m.host = nil
	m.old = nil
	m.asked = map[uint64]string{}
}
