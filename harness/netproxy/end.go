package netproxy

// This file owns the end of a stream within this process: a stand-in's side, which needs no descriptor.

import (
	"io"
	"net"
	"sync"
	"time"
)

// End is a stand-in's end of a stream.
type End struct {
	mu    sync.Mutex
	come  *sync.Cond
	in    []byte
	eof   bool
	over  bool
	reset bool
	out   *pipe
	early []item
	addr  net.Addr
}

// NewEnd makes an end that belongs to no stream yet.
func NewEnd() *End {
	e := &End{addr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	e.come = sync.NewCond(&e.mu)
	return e
}

func (e *End) begin(out *pipe) {
	e.mu.Lock()
	e.out = out
	early := e.early
	e.early = nil
	e.mu.Unlock()
	for _, i := range early {
		out.put(i)
	}
}

// Read gives what has come through the link.
func (e *End) Read(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.in) == 0 && !e.eof && !e.over {
		e.come.Wait()
	}
	if e.over {
		return 0, net.ErrClosed
	}
	if len(e.in) == 0 {
		return 0, io.EOF
	}
	n := copy(b, e.in)
	e.in = e.in[n:]
	return n, nil
}

// Write sends through the link: the relay calls it for what comes, the stand-in Send for what goes.
func (e *End) Write(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over {
		return 0, net.ErrClosed
	}
	e.in = append(e.in, b...)
	e.come.Broadcast()
	return len(b), nil
}

// CloseWrite says that nothing more comes.
func (e *End) CloseWrite() error {
	e.mu.Lock()
	e.eof = true
	e.mu.Unlock()
	e.come.Broadcast()
	return nil
}

func (e *End) SetLinger(int) error {
	e.mu.Lock()
	e.reset = true
	e.mu.Unlock()
	return nil
}

func (e *End) send(i item) bool {
	e.mu.Lock()
	if e.over {
		e.mu.Unlock()
		return false
	}
	out := e.out
	if out == nil {
		e.early = append(e.early, i)
	}
	e.mu.Unlock()
	return out == nil || out.put(i)
}

// Close ends it. What was sent before still goes through, unless it is a reset.
func (e *End) Close() error {
	e.mu.Lock()
	was, reset, out := e.over, e.reset, e.out
	e.over = true
	e.mu.Unlock()
	e.come.Broadcast()
	if was || out == nil {
		return nil
	}
	out.mu.Lock()
	gone := out.gone
	out.mu.Unlock()
	if gone { // the other end isn't told
		return nil
	}
	if reset {
		go out.pair.end(true)
		return nil
	}
	go out.put(item{end: true, came: time.Now()})
	return nil
}

// Side is the stand-in's view of an End.
type Side struct{ *End }

func (s Side) Write(b []byte) (int, error) {
	if !s.send(item{bytes: append([]byte(nil), b...), came: time.Now()}) {
		return 0, net.ErrClosed
	}
	return len(b), nil
}

// Mark has done called once all that was written before it has passed the link, if the other end is there to read it.
func (s Side) Mark(done func()) { s.send(item{mark: done, came: time.Now()}) }

// Inside listens for the connections of a link and hands the stand-in's side of each to it.
func (l *Link) Inside(each func(c net.Conn)) (string, error) {
	return l.Serve(func() (net.Conn, error) {
		e := NewEnd()
		go each(Side{e})
		return e, nil
	})
}

func (e *End) LocalAddr() net.Addr              { return e.addr }
func (e *End) RemoteAddr() net.Addr             { return e.addr }
func (e *End) SetDeadline(time.Time) error      { return nil }
func (e *End) SetReadDeadline(time.Time) error  { return nil }
func (e *End) SetWriteDeadline(time.Time) error { return nil }
