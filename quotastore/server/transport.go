package server

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"otterseam/internal/bytebudget"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
)

const (
	maxIncomingConns = 512 // maximum connections from peers and clients
	acceptRetryDelay = 10 * time.Millisecond
	helloTimeout     = 5 * time.Second // for the first frame on an incoming connection
	streamBuffer     = 64 << 10        // bytes
)

// transport owns the listener for peers and clients, its incoming connections and the streams to the other servers. It never
// blocks the event loop: a message that can't be queued immediately is dropped, like one on a connection that breaks.
type transport struct {
	server   *Server
	self     int // number of this server
	listener net.Listener
	conns    *connSet

	clientFrames *bytebudget.Budget // of the large frames of clients

	// Set by start before any goroutine starts.
	ctx   context.Context
	group *errgroup.Group

	mu    sync.Mutex
	peers []*peerStream // by server number; the one of this server is not used
}

func newTransport(s *Server, self int, address string, memoryBytes int64) (*transport, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("peer listener: %w", err)
	}
	return &transport{
		server: s, self: self, listener: listener, conns: newConnSet(0), clientFrames: newFrameMemory(memoryBytes),
	}, nil
}

// start starts the transport's goroutines in a group. When the context is done they end, and the listener and all connections
// are closed.
func (t *transport) start(ctx context.Context, group *errgroup.Group) {
	t.ctx, t.group = ctx, group
	t.setPeers(t.server.config)
	group.Go(t.accept)
	group.Go(func() error {
		<-ctx.Done()
		t.listener.Close()
		t.conns.closeAll()
		return nil
	})
}

// setPeers starts streams to servers that are new in the configuration, and updates the addresses of the others.
func (t *transport) setPeers(config *ClusterConfig) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for number, member := range config.Members {
		if number < len(t.peers) {
			t.peers[number].setAddress(member.PeerAddress)
			continue
		}
		p := newPeerStream(t, number, member.PeerAddress, config.SnapshotRate)
		t.peers = append(t.peers, p)
		if number == t.self {
			continue
		}
		t.group.Go(p.runMessages)
		t.group.Go(p.runSnapshots)
	}
}

// send queues a message for its peer. It runs in the event loop. It returns an error if the message can't be encoded.
func (t *transport) send(message replication.Message) error {
	encoded, err := message.Frame.AppendTo(nil)
	if err != nil {
		return err
	}
	t.mu.Lock()
	p := t.peers[message.To]
	t.mu.Unlock()
	queue := p.messages
	if message.Bulk {
		queue = p.snapshots
	}
	select {
	case queue <- encoded:
	default: // the peer is not reading; the replication protocol resends dropped messages
		if message.Bulk {
			t.server.node.SnapshotFailed(t.server.now(), message.To)
		}
	}
	return nil
}

// accept accepts connections and starts serving them, until the listener is closed.
func (t *transport) accept() error {
	slots := make(chan struct{}, maxIncomingConns)
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return nil
			}
			time.Sleep(acceptRetryDelay) // probably out of file descriptors
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		if !t.conns.add(conn) {
			return nil
		}
		t.group.Go(func() error {
			defer func() { <-slots }()
			defer t.conns.close(conn)
			t.serve(conn)
			return nil
		})
	}
}

// serve reads the hello of an incoming connection, then serves it as the connection of a peer or a client until it ends.
func (t *transport) serve(conn net.Conn) {
	r := bufio.NewReaderSize(conn, streamBuffer)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	frame, err := protocol.ReadFrame(r, maxHelloBytes)
	if err != nil || frame.Hello == nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if frame.Hello.Sender == protocol.ClientSender {
		t.serveClient(conn, r)
		return
	}
	t.servePeer(frame.Hello.Sender, r)
}

// servePeer passes the frames of a peer to the node until the connection ends.
func (t *transport) servePeer(sender int, r *bufio.Reader) {
	s := t.server
	for {
		frame, err := protocol.ReadFrame(r, protocol.MaxFrameBytes)
		if err != nil {
			return
		}
		if !s.enqueue(func() { s.node.Receive(s.now(), sender, frame) }) {
			return
		}
	}
}
