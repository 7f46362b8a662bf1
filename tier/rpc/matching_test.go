package rpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterseam/tier/codes"
)

// peer is the remote end of a connection. It reads and writes single frames.
type peer struct {
	net.Conn
	reader *bufio.Reader
}

// listen listens on an address and accepts connections as peers.
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

// next reads the next frame and returns its header.
func (p *peer) next(t testing.TB) header {
	t.Helper()
	h, _, err := readFrame(p.reader)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// answer sends an answer with the given ID, whether or not such a call is pending.
func (p *peer) answer(id uint64, text string) {
	_, _ = p.Write(appendFrame(nil, header{Kind: kindAnswer, ID: id}, []byte(text)))
}

// callResult is the result of a call.
type callResult struct {
	text string
	err  error
}

func call(ctx context.Context, client *Client) <-chan callResult {
	got := make(chan callResult, 1)
	go func() {
		answer, err := client.Call(ctx, kindEcho, nil)
		got <- callResult{string(answer), err}
	}()
	return got
}

// The answer to a call that has been canceled must not be delivered to a later call.
func TestLateAnswerIsDropped(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	client := NewClient(address, nil)
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	first := call(ctx, client)
	server := <-peers
	canceledCall := server.next(t)
	cancel()
	if got := <-first; !errors.Is(got.err, codes.Timeout) {
		t.Fatal(got.err)
	}
	second := call(contextWithTimeout(t, 10*time.Second), client)
	received := server.next(t)
	if received.ID == canceledCall.ID {
		t.Fatalf("two calls have the ID %d", received.ID)
	}
	server.answer(canceledCall.ID, "late")
	server.answer(received.ID, "its own")
	server.answer(received.ID, "twice")
	if got := <-second; got.err != nil || got.text != "its own" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	third := call(contextWithTimeout(t, 10*time.Second), client)
	received = server.next(t)
	server.answer(canceledCall.ID, "late again")
	server.answer(received.ID, "third")
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
		t.Fatalf("%d calls that have ended are still pending", len(conn.pending))
	}
}

// An answer without a pending call is dropped, and the connection stays open.
func TestUnexpectedAnswerIsDropped(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	client := NewClient(address, nil)
	defer client.Close()
	got := call(contextWithTimeout(t, 10*time.Second), client)
	server := <-peers
	received := server.next(t)
	for _, id := range []uint64{0, received.ID + 1, received.ID - 1, 1 << 63} {
		server.answer(id, "unasked")
	}
	server.answer(received.ID, "asked")
	if got := <-got; got.err != nil || got.text != "asked" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	// this call has the ID of an answer that was sent before the call
	again := call(contextWithTimeout(t, 10*time.Second), client)
	received = server.next(t)
	server.answer(received.ID, "again")
	if got := <-again; got.text != "again" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
}

// When a new process has taken over the address of another one, answers of the earlier process are not delivered to calls to the new
// one.
func TestAnswerOfAnEarlierProcessIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	client := NewClient(address, nil)
	defer client.Close()
	formerPeers := accept(listener)
	beforeRestart := call(contextWithTimeout(t, 10*time.Second), client)
	server := <-formerPeers
	answered := server.next(t)
	_ = listener.Close()
	server.answer(answered.ID, "in time")
	if got := <-beforeRestart; got.text != "in time" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	conn, err := client.connect(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	duringRestart := call(contextWithTimeout(t, 10*time.Second), client)
	unanswered := server.next(t)
	_ = server.CloseWrite()
	if got := <-duringRestart; !errors.Is(got.err, codes.LinkBroken) {
		t.Fatalf("%q, %v", got.text, got.err)
	}
	<-conn.Done()
	_, newPeers := listen(t, address)
	afterRestart := call(contextWithTimeout(t, 10*time.Second), client)
	successor := <-newPeers
	received := successor.next(t)
	server.answer(received.ID, "of the former process")
	server.answer(unanswered.ID, "of the former process")
	successor.answer(received.ID, "of its successor")
	if got := <-afterRestart; got.err != nil || got.text != "of its successor" {
		t.Fatalf("%q, %v", got.text, got.err)
	}
}

// CloseWrite closes the sending side.
func (p *peer) CloseWrite() error { return p.Conn.(*net.TCPConn).CloseWrite() }

// A call whose context has ended is not sent.
func TestCanceledCallIsNotSent(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	client := NewClient(address, nil)
	defer client.Close()
	conn, err := client.connect(contextWithTimeout(t, 10*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := conn.Call(ctx, kindRefuse, nil); !errors.Is(err, codes.Timeout) {
		t.Fatal(err)
	}
	got := call(contextWithTimeout(t, 10*time.Second), client)
	server := <-peers
	received := server.next(t)
	if received.Kind != kindEcho {
		t.Fatalf("a call of kind %d was sent after its context had ended", received.Kind)
	}
	server.answer(received.ID, "")
	<-got
}

// A client that is closed during a dial closes the new connection.
func TestClientClosedDuringDialClosesTheConnection(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	client := NewClient(address, nil)
	client.mu.Lock()
	dialDone := client.startDialLocked()
	client.mu.Unlock()
	client.Close()
	<-dialDone
	server := <-peers
	if _, _, err := readFrame(server.reader); err == nil {
		t.Fatal("received a frame from a closed client")
	}
	if _, err := client.Call(contextWithTimeout(t, 10*time.Second), kindEcho, nil); !errors.Is(err, codes.LinkBroken) {
		t.Fatal(err)
	}
}

// clientModel drives a client through random steps: calls, answers in any order, duplicate and unexpected answers, canceled calls and
// closed connections.
type clientModel struct {
	client      *Client
	peers       <-chan *peer
	server      *peer
	received    map[uint64]string // names of the calls that the server has received on the connection, by ID
	waiting     map[string]*pendingCall
	nextID      int
	finishedIDs []uint64 // IDs of calls on the connection that were answered or canceled
}

type pendingCall struct {
	got    <-chan callResult
	cancel context.CancelFunc
	id     uint64
}

func TestEachCallGetsOnlyItsOwnAnswer(t *testing.T) {
	address, peers := listen(t, "127.0.0.1:0")
	rapid.Check(t, func(rt *rapid.T) {
		client := NewClient(address, nil)
		m := &clientModel{client: client, peers: peers, received: map[uint64]string{}, waiting: map[string]*pendingCall{}}
		defer func() {
			client.Close()
			for _, call := range m.waiting {
				<-call.got
				call.cancel()
			}
		}()
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				m.call(rt)
			case 2:
				m.answer(rt)
			case 3:
				m.answerUnexpected()
			case 4:
				m.cancel(rt)
			case 5:
				m.reconnect(rt)
			}
		}
	})
}

func (m *clientModel) call(rt *rapid.T) {
	m.nextID++
	name := fmt.Sprint("call ", m.nextID)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	got := make(chan callResult, 1)
	go func() {
		answer, err := m.client.Call(ctx, kindEcho, []byte(name))
		got <- callResult{string(answer), err}
	}()
	h, payload, err := m.readCall()
	if err != nil || string(payload) != name {
		rt.Fatalf("the server received %q, %v", payload, err)
	}
	if _, used := m.received[h.ID]; used || h.ID == 0 {
		rt.Fatalf("the ID %d is used twice", h.ID)
	}
	m.received[h.ID] = name
	m.waiting[name] = &pendingCall{got, cancel, h.ID}
}

// readCall reads the next call. The client uses one of the accepted connections. Those that it opened because a dial took long, and closed
// again, end without a frame.
func (m *clientModel) readCall() (header, []byte, error) {
	if m.server != nil {
		return readFrame(m.server.reader)
	}
	for {
		server := <-m.peers
		h, payload, err := readFrame(server.reader)
		if errors.Is(err, io.EOF) {
			continue
		}
		m.server = server
		return h, payload, err
	}
}

// drawCall draws one of the pending calls.
func (m *clientModel) drawCall(rt *rapid.T) (string, *pendingCall) {
	for id := 1; id <= m.nextID; id++ {
		name := fmt.Sprint("call ", id)
		if call := m.waiting[name]; call != nil && (rapid.Bool().Draw(rt, "this one") || len(m.waiting) == 1) {
			return name, call
		}
	}
	return "", nil
}

func (m *clientModel) answer(rt *rapid.T) {
	name, call := m.drawCall(rt)
	if call == nil {
		return
	}
	m.server.answer(call.id, name)
	if got := <-call.got; got.err != nil || got.text != name {
		rt.Fatalf("%s got %q, %v", name, got.text, got.err)
	}
	m.finish(name, call)
}

func (m *clientModel) finish(name string, call *pendingCall) {
	call.cancel()
	delete(m.waiting, name)
	m.finishedIDs = append(m.finishedIDs, call.id)
}

func (m *clientModel) answerUnexpected() {
	if m.server == nil {
		return
	}
	for _, id := range append(m.finishedIDs, 1<<40) {
		m.server.answer(id, "surplus")
	}
}

func (m *clientModel) cancel(rt *rapid.T) {
	name, call := m.drawCall(rt)
	if call == nil {
		return
	}
	call.cancel()
	if got := <-call.got; !errors.Is(got.err, codes.Timeout) {
		rt.Fatalf("%s got %q, %v", name, got.text, got.err)
	}
	m.finish(name, call)
}

func (m *clientModel) reconnect(rt *rapid.T) {
	if m.server == nil {
		return
	}
	conn, err := m.client.connect(context.Background())
	if err != nil {
		rt.Fatal(err)
	}
	_ = m.server.Close()
	<-conn.Done()
	for name, call := range m.waiting {
		if got := <-call.got; !errors.Is(got.err, codes.LinkBroken) {
			rt.Fatalf("%s got %q, %v", name, got.text, got.err)
		}
		call.cancel()
		delete(m.waiting, name)
	}
	m.server = nil
	m.finishedIDs = nil
	m.received = map[uint64]string{}
}
