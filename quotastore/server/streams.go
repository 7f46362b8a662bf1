package server

// This file owns the streams: one to each other keeper for what this one says, further ones for copies, which go at a
// bounded rate, and those of others and of guests that come in. It must never hold up the loop: what can't be sent at once
// is lost, as it is when a stream breaks.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
)

const (
	mostQueued = 4096 // frames to one keeper
	mostGuests = 512  // streams that come in
)

type transport struct {
	keeper   *Server
	me       int
	listener net.Listener
	ctx      context.Context
	group    *errgroup.Group
	mu       sync.Mutex
	to       []*stream
	open     map[net.Conn]bool
}

// stream is the way to one keeper.
type stream struct {
	all   *transport
	to    int
	mu    sync.Mutex
	addr  string
	out   chan []byte
	bulk  chan []byte
	limit *rate.Limiter
}

func newStreams(k *Server, me int, addr string) (*transport, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return &transport{keeper: k, me: me, listener: l, open: map[net.Conn]bool{}}, nil
}

func (s *transport) run(ctx context.Context, group *errgroup.Group) {
	s.ctx, s.group = ctx, group
	s.reach(s.keeper.config)
	group.Go(s.accept)
	group.Go(func() error {
		<-ctx.Done()
		s.listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.open {
			c.Close()
		}
		return nil
	})
}

// reach begins streams to keepers that are new in the list, and takes up new addresses.
func (s *transport) reach(l *ClusterConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, spot := range l.Servers {
		if i < len(s.to) {
			s.to[i].mu.Lock()
			s.to[i].addr = spot.PeerAddress
			s.to[i].mu.Unlock()
			continue
		}
		x := &stream{
			all: s, to: i, addr: spot.PeerAddress, out: make(chan []byte, mostQueued), bulk: make(chan []byte, 256),
			limit: rate.NewLimiter(rate.Limit(l.SnapshotRate), 64<<10),
		}
		s.to = append(s.to, x)
		if i == s.me {
			continue
		}
		s.group.Go(x.run)
		s.group.Go(x.copies)
	}
}

// keep notes a connection, so that it ends with the keeper; false: it has ended.
func (s *transport) keep(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		c.Close()
		return false
	}
	s.open[c] = true
	return true
}

func (s *transport) drop(c net.Conn) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	c.Close()
}

// send hands a frame to the stream of its keeper; it runs on the loop.
func (s *transport) send(l replication.Message) {
	text, err := l.Frame.AppendTo(nil)
	if err != nil {
		s.keeper.failed = err
		return
	}
	s.mu.Lock()
	x := s.to[l.To]
	s.mu.Unlock()
	to := x.out
	if l.Bulk {
		to = x.bulk
	}
	select {
	case to <- text:
	default: // it does not read; what is lost is told again
		if l.Bulk {
			s.keeper.node.SnapshotFailed(s.keeper.now(), l.To)
		}
	}
}

func (x *stream) dial() (net.Conn, error) {
	x.mu.Lock()
	addr := x.addr
	x.mu.Unlock()
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(x.all.ctx, "tcp", addr)
}

// run has one connection after another. Where one ends and nobody listens any more, the keeper's process is gone, which the
// others need not wait to find out by its silence.
func (x *stream) run() error {
	s, pause, was := x.all, 10*time.Millisecond, false
	for s.ctx.Err() == nil {
		c, err := x.dial()
		if err == nil && s.keep(c) {
			x.live(c)
			pause, was = 10*time.Millisecond, true
			continue
		}
		if was && errors.Is(err, syscall.ECONNREFUSED) {
			was = false
			s.keeper.enqueue(func() { s.keeper.node.PeerDown(s.keeper.now(), x.to) })
		}
		for drained := false; !drained; { // what waits was for the one before
			select {
			case <-x.out:
			default:
				drained = true
			}
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, 200*time.Millisecond)
	}
	return nil
}

// live sends on one connection until it ends.
func (x *stream) live(c net.Conn) {
	defer x.all.drop(c)
	ended := make(chan bool)
	x.all.group.Go(func() error {
		io.Copy(io.Discard, c) // nothing comes back: this ends when the other end does
		close(ended)
		return nil
	})
	w := bufio.NewWriterSize(c, 64<<10)
	hello, err := x.all.keeper.node.Hello().AppendTo(nil) // what it says never changes
	if err != nil {
		return
	}
	w.Write(hello)
	for {
		if w.Flush() != nil {
			return
		}
		select {
		case <-ended:
			return
		case <-x.all.ctx.Done():
			return
		case text := <-x.out:
			c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			w.Write(text)
			for n := len(x.out); n > 0; n-- {
				w.Write(<-x.out)
			}
		}
	}
}

// copies sends large frames, each on a connection of its own, no faster than is allowed.
func (x *stream) copies() error {
	s := x.all
	for {
		var text []byte
		select {
		case <-s.ctx.Done():
			return nil
		case text = <-x.bulk:
		}
		if x.copy(text) != nil {
			s.keeper.enqueue(func() { s.keeper.node.SnapshotFailed(s.keeper.now(), x.to) })
		}
	}
}

func (x *stream) copy(text []byte) error {
	c, err := x.dial()
	if err != nil {
		return err
	}
	if !x.all.keep(c) {
		return context.Canceled
	}
	defer x.all.drop(c)
	hello, err := x.all.keeper.node.Hello().AppendTo(nil)
	if err != nil {
		return err
	}
	for _, piece := range [][]byte{hello, text} {
		for len(piece) > 0 {
			n := min(len(piece), 32<<10)
			if err := x.limit.WaitN(x.all.ctx, n); err != nil {
				return err
			}
			c.SetWriteDeadline(time.Now().Add(5 * time.Second))
			if _, err := c.Write(piece[:n]); err != nil {
				return err
			}
			piece = piece[n:]
		}
	}
	// The end of the other's reading says that it has all of it.
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		return fmt.Errorf("the copy may not have got there: %w", err)
	}
	return nil
}

func (s *transport) accept() error {
	guests := make(chan bool, mostGuests)
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return nil
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors for the moment
			continue
		}
		select {
		case guests <- true:
		default:
			c.Close()
			continue
		}
		if !s.keep(c) {
			return nil
		}
		s.group.Go(func() error {
			defer func() { <-guests }()
			defer s.drop(c)
			s.hear(c)
			return nil
		})
	}
}

// hear reads what one who came in says.
func (s *transport) hear(c net.Conn) {
	r := bufio.NewReaderSize(c, 64<<10)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	f, err := protocol.ReadFrame(r, protocol.MaxFrameBytes)
	if err != nil || f.Hello == nil {
		return
	}
	c.SetReadDeadline(time.Time{})
	from := f.Hello.Sender
	if from == protocol.ClientSender {
		s.guest(c, r)
		return
	}
	k := s.keeper
	for {
		if f, err = protocol.ReadFrame(r, protocol.MaxFrameBytes); err != nil {
			return
		}
		now := f
		if !k.enqueue(func() { k.node.Receive(k.now(), from, now) }) {
			return
		}
	}
}

// guest serves an api gateway or a command: each thing asked gets its answer, as it comes.
func (s *transport) guest(c net.Conn, r *bufio.Reader) {
	k := s.keeper
	out := make(chan *protocol.Frame, 1024)
	gone := make(chan bool)
	defer close(gone)
	s.group.Go(func() error {
		w := bufio.NewWriterSize(c, 16<<10)
		for {
			select {
			case <-gone:
				return nil
			case f := <-out:
				for more := true; more; {
					text, err := f.AppendTo(nil)
					if err != nil {
						text, _ = protocol.AdminFrame(&protocol.Admin{Failure: err.Error()}).AppendTo(nil)
					}
					c.SetWriteDeadline(time.Now().Add(5 * time.Second))
					w.Write(text)
					select {
					case f = <-out:
					default:
						more = false
					}
				}
				if w.Flush() != nil {
					c.Close()
					return nil
				}
			}
		}
	})
	send := func(f *protocol.Frame) { // on the loop, which must not wait
		select {
		case out <- f:
		default:
			c.Close()
		}
	}
	for {
		f, err := protocol.ReadFrame(r, protocol.MaxFrameBytes)
		if err != nil {
			return
		}
		ok := k.enqueue(func() {
			if f.Admin != nil {
				k.node.HandleAdmin(k.now(), f.Admin, func(all []replication.Write) error {
					if err := k.storage.write(all); err != nil { // nothing else is being written: it holds nothing yet
						return err
					}
					return k.storage.setCluster(k.node.Cluster())
				}, func(a *protocol.Admin) { send(protocol.AdminFrame(a)) })
				return
			}
			for _, a := range f.Requests {
				k.node.HandleClient(k.now(), a, func(r protocol.Response) { send(protocol.ResponsesFrame([]protocol.Response{r})) })
			}
		})
		if !ok {
			return
		}
	}
}
