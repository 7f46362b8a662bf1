package server

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
)

const (
	maxIncoming      = 512 // connections of peers and clients
	acceptRetryPause = 10 * time.Millisecond
	helloTimeout     = 5 * time.Second // for the first frame of an incoming connection
	streamBuffer     = 64 << 10        // bytes
)

// transport owns the listener for peers and clients, the connections that come in there and the streams to the other servers.
// It never holds up the event loop: a message that can't be queued at once is lost, as it is when a connection breaks.
type transport struct {
	server   *Server
	self     int // number of this server
	listener net.Listener
	conns    *connSet

	// Of start, and set before any goroutine starts.
	ctx   context.Context
	group *errgroup.Group

	mu    sync.Mutex
	peers []*peerStream // by number; that of this server sends nothing
}

func newTransport(s *Server, self int, address string) (*transport, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("peer listener: %w", err)
	}
	return &transport{server: s, self: self, listener: listener, conns: newConnSet(0)}, nil
}

// start starts the transport's goroutines in a group. They end with the context, and all that is open is closed then.
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

// setPeers starts streams to servers that are new in the configuration, and takes up new addresses.
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

// send queues a message for its peer. It runs in the event loop. The error is that of a message that can't be encoded.
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
	default: // the peer does not read; what is lost is sent again by the protocol above
		if message.Bulk {
			t.server.node.SnapshotFailed(t.server.now(), message.To)
		}
	}
	return nil
}

// accept serves incoming connections until the listener is closed.
func (t *transport) accept() error {
	slots := make(chan struct{}, maxIncoming)
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return nil
			}
			time.Sleep(acceptRetryPause) // out of descriptors for the moment
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

// serve reads the hello of an incoming connection, then serves it as a peer's or a client's until it ends.
func (t *transport) serve(conn net.Conn) {
	r := bufio.NewReaderSize(conn, streamBuffer)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	frame, err := protocol.ReadFrame(r, protocol.MaxFrameBytes)
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

// servePeer tells the node what a peer sends.
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
