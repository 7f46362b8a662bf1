package netproxy

// This file owns streams: listeners, the pair of connections that a stream is led through, and the two pipes between
// them. A pair is closed in end, and nowhere else.

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// listener takes the connections of a link, and closes its doors in the two ways there are.
type listener struct {
	link *Link
	addr string
	up   func() (net.Conn, error)

	mu      sync.Mutex
	tcp     *net.TCPListener // nil while refusing
	closed  bool             // its queue is full, so that new connections never come up
	fillers []net.Conn       // what fills it
	over    bool
	changed chan struct{}
}

// Serve listens on loopback; each connection that comes is led to one that up gives. It gives the address.
func (l *Link) Serve(up func() (net.Conn, error)) (string, error) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	l.listen = &listener{link: l, addr: tcp.Addr().String(), up: up, tcp: tcp, changed: make(chan struct{}, 1)}
	go l.listen.accept(tcp)
	return l.listen.addr, nil
}

func (s *listener) accept(tcp *net.TCPListener) {
	for {
		c, err := tcp.AcceptTCP()
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				s.shut(tcp)
				continue
			}
			return
		}
		go s.take(c)
	}
}

func (s *listener) take(c *net.TCPConn) {
	if c.RemoteAddr().(*net.TCPAddr).Port == 0 {
		c.Close()
		return
	}
	s.mu.Lock()
	for _, f := range s.fillers {
		if f.LocalAddr().String() == c.RemoteAddr().String() {
			s.mu.Unlock()
			c.Close()
			return
		}
	}
	s.mu.Unlock()
	up, err := s.up()
	if err != nil {
		c.SetLinger(0)
		c.Close()
		return
	}
	s.link.lead(c, up)
}

// shut waits, while the doors are closed, with a full queue: whoever connects hears nothing.
func (s *listener) shut(tcp *net.TCPListener) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	var fillers []net.Conn
	for range 8 {
		f, err := net.DialTimeout("tcp", s.addr, 30*time.Millisecond)
		if err != nil {
			break // it is full
		}
		fillers = append(fillers, f)
	}
	s.mu.Lock()
	s.fillers = fillers
	s.mu.Unlock()
	for closed := true; closed; closed, _ = s.link.doors() {
		<-s.changed
		s.mu.Lock()
		over := s.over
		s.mu.Unlock()
		if over {
			break
		}
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 4096) })
	tcp.SetDeadline(time.Time{})
	time.AfterFunc(time.Second, func() { // they have been taken and let go by now
		s.mu.Lock()
		s.fillers = nil
		s.mu.Unlock()
		for _, f := range fillers {
			f.Close()
		}
	})
}

// notice closes or opens the doors as the link's faults say.
func (s *listener) notice() {
	closed, refused := s.link.doors()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	if closed && !s.closed && s.tcp != nil {
		s.tcp.SetDeadline(time.Unix(1, 0)) // accept stops, and shut begins
	}
	s.closed = closed
	select {
	case s.changed <- struct{}{}:
	default:
	}
	switch {
	case refused && s.tcp != nil:
		s.tcp.Close()
		s.tcp = nil
	case !refused && s.tcp == nil:
		if l, err := net.Listen("tcp", s.addr); err == nil {
			s.tcp = l.(*net.TCPListener)
			go s.accept(s.tcp)
		}
	}
}

func (s *listener) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	if s.tcp != nil {
		s.tcp.Close()
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// pair is a connection that came and the one it is led to.
type pair struct {
	link  *Link
	ends  [2]net.Conn // the one that opened it, the one that was called
	pipes [2]*pipe
	once  sync.Once
	mu    sync.Mutex
	done  int
	over  bool
	shut  [2]bool // this end has closed, or sends no more
}

// pipe carries one direction of a pair. What waits in it has an end: the sender is not read on past it.
type pipe struct {
	pair  *pair
	dir   int
	items chan item
	mu    sync.Mutex
	torn  bool // the next piece is cut and the pair reset
	mute  bool // what comes is passed to nobody
	gone  bool // the end that it reads is no more
}

type item struct {
	bytes []byte
	came  time.Time
	mark  func() // to be called once what came before it has been passed on
	end   bool
}

func (l *Link) lead(from, to net.Conn) {
	p := &pair{link: l, ends: [2]net.Conn{from, to}}
	for dir := range p.pipes {
		p.pipes[dir] = &pipe{pair: p, dir: dir, items: make(chan item, 64)}
	}
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		p.end(true)
		return
	}
	l.pairs[p] = true
	l.mu.Unlock()
	if e, ok := to.(*End); ok { // what the stand-in writes goes straight into the pipe
		e.begin(p.pipes[Back])
	} else {
		go p.pipes[Back].read(to)
	}
	go p.pipes[There].read(from)
	go p.pipes[There].write(to)
	go p.pipes[Back].write(from)
}

func (p *pair) isOver() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over
}

// end closes both ends, with a reset or not.
func (p *pair) end(reset bool) {
	p.once.Do(func() {
		p.mu.Lock()
		p.over = true
		p.mu.Unlock()
		for _, c := range p.ends {
			hang(c, reset)
		}
		p.link.mu.Lock()
		delete(p.link.pairs, p)
		p.link.mu.Unlock()
		p.link.changed.Broadcast()
	})
}

func hang(c net.Conn, reset bool) {
	if t, ok := c.(interface{ SetLinger(int) error }); ok && reset {
		t.SetLinger(0)
	}
	c.Close()
}

// half ends one end; the pair goes on without it until the other end closes.
func (p *pair) half(dir int) {
	for e, pp := range p.pipes { // the pipe that reads an end has its number
		pp.mu.Lock()
		pp.mute, pp.gone = true, e == 1-dir
		pp.mu.Unlock()
	}
	hang(p.ends[1-dir], true)
}

func (pp *pipe) tear() {
	pp.mu.Lock()
	pp.torn = true
	pp.mu.Unlock()
}

func (pp *pipe) read(from net.Conn) {
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if n > 0 && !pp.put(item{bytes: b[:n], came: time.Now()}) {
			return
		}
		if err != nil {
			pp.pair.mu.Lock()
			pp.pair.shut[pp.dir] = true
			pp.pair.mu.Unlock()
			pp.mu.Lock()
			mute, gone := pp.mute, pp.gone
			pp.mu.Unlock()
			if gone {
				return
			}
			if !errors.Is(err, io.EOF) && !mute {
				pp.pair.end(true) // a reset on one side is one on the other
				return
			}
			pp.put(item{end: true, came: time.Now()})
			return
		}
	}
}

func (pp *pipe) put(i item) bool {
	for {
		select {
		case pp.items <- i:
			return true
		case <-time.After(50 * time.Millisecond):
			if pp.pair.isOver() {
				return false
			}
		}
	}
}

// write passes on what has come, as the link's faults allow.
func (pp *pipe) write(to net.Conn) {
	p := pp.pair
	for {
		var i item
		select {
		case i = <-pp.items:
		case <-time.After(100 * time.Millisecond):
			if p.isOver() {
				return
			}
			continue
		}
		if !p.link.pass(pp.dir, len(i.bytes), i.came, p.isOver) {
			return
		}
		pp.mu.Lock()
		torn, mute := pp.torn, pp.mute
		pp.mu.Unlock()
		switch {
		case i.mark != nil:
			p.mu.Lock()
			heard := !p.shut[1-pp.dir] // else it was written to nobody
			p.mu.Unlock()
			if heard {
				i.mark()
			}
		case torn && len(i.bytes) > 0:
			to.Write(i.bytes[:len(i.bytes)/2])
			time.Sleep(2 * time.Millisecond) // a reset at once would take back what was written
			p.end(true)
			return
		case i.end:
			if mute { // its partner is long gone
				p.end(false)
				return
			}
			if t, ok := to.(interface{ CloseWrite() error }); ok {
				t.CloseWrite()
			}
			p.mu.Lock()
			p.done++
			done := p.done
			p.mu.Unlock()
			if done == 2 {
				p.end(false)
			}
			return
		case !mute:
			if _, err := to.Write(i.bytes); err != nil {
				p.end(true)
				return
			}
		}
	}
}
