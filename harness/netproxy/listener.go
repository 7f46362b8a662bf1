package netproxy

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// normalBacklog is the length of the accept queue while connections are accepted.
	normalBacklog = 4096
	// A full accept queue keeps new connections from being established. The listener fills it with connections to itself, at most
	// maxFillers, until one isn't established within fillerTimeout.
	maxFillers    = 8
	fillerTimeout = 30 * time.Millisecond
	// fillerLinger is the time after the fault within which the accept loop drops the fillers.
	fillerLinger = time.Second
)

// listener accepts the connections of a link, or blocks or refuses them while the link has such faults.
type listener struct {
	link    *Link
	address string
	dial    func() (net.Conn, error)
	changed chan struct{} // wakes waitWhileBlocked

	mu      sync.Mutex // guards all below
	tcp     *net.TCPListener
	blocked bool
	fillers []net.Conn
	closed  bool
}

// Listen listens on loopback and returns the address. It forwards each accepted connection over the link to a connection from dial.
func (l *Link) Listen(dial func() (net.Conn, error)) (string, error) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", err
	}
	l.listener = &listener{
		link:    l,
		address: tcp.Addr().String(),
		dial:    dial,
		changed: make(chan struct{}, 1),
		tcp:     tcp, // nil while connections are refused
	}
	go l.listener.acceptLoop(tcp)
	return l.listener.address, nil
}

func (s *listener) acceptLoop(tcp *net.TCPListener) {
	for {
		conn, err := tcp.AcceptTCP()
		if err == nil {
			go s.handle(conn)
			continue
		}
		var netError net.Error
		if !errors.As(err, &netError) || !netError.Timeout() {
			return
		}
		s.block(tcp)
	}
}

// handle forwards a new connection over the link, unless it is one of the listener's own fillers.
func (s *listener) handle(conn *net.TCPConn) {
	if conn.RemoteAddr().(*net.TCPAddr).Port == 0 || s.isFiller(conn) {
		conn.Close()
		return
	}
	to, err := s.dial()
	if err != nil {
		closeConn(conn, true)
		return
	}
	s.link.connect(conn, to)
}

func (s *listener) isFiller(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, filler := range s.fillers {
		if filler.LocalAddr().String() == conn.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// block keeps the accept queue full while the link's faults block connections, so that connection attempts get no response.
func (s *listener) block(tcp *net.TCPListener) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	setBacklog(raw, 0)
	fillers := s.fillQueue()
	s.mu.Lock()
	s.fillers = fillers
	s.mu.Unlock()
	s.waitWhileBlocked()
	setBacklog(raw, normalBacklog)
	_ = tcp.SetDeadline(time.Time{}) // fails only if closed, which accept reports
	time.AfterFunc(fillerLinger, func() {
		s.mu.Lock()
		s.fillers = nil
		s.mu.Unlock()
		for _, filler := range fillers {
			filler.Close()
		}
	})
}

// setBacklog sets the length of the accept queue of a listening socket. It can fail only if the socket is closed, which accept
// reports.
func setBacklog(raw syscall.RawConn, length int) {
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
}

// fillQueue opens connections to the listener until one is no longer established, and returns the established ones.
func (s *listener) fillQueue() []net.Conn {
	var fillers []net.Conn
	for range maxFillers {
		filler, err := net.DialTimeout("tcp", s.address, fillerTimeout)
		if err != nil {
			break
		}
		fillers = append(fillers, filler)
	}
	return fillers
}

func (s *listener) waitWhileBlocked() {
	for blocked := true; blocked; blocked, _ = s.link.connectFaults() {
		<-s.changed
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
	}
}

// update blocks, refuses or accepts connections according to the link's faults.
func (s *listener) update() {
	blocked, refused := s.link.connectFaults()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if blocked && !s.blocked && s.tcp != nil {
		_ = s.tcp.SetDeadline(time.Unix(1, 0)) // ends accept so that block starts; fails only if closed, which accept reports
	}
	s.blocked = blocked
	s.wake()
	switch {
	case refused && s.tcp != nil:
		s.tcp.Close()
		s.tcp = nil
	case !refused && s.tcp == nil:
		s.listenAgainLocked()
	}
}

// listenAgainLocked accepts connections again at the same address. The caller holds mu.
func (s *listener) listenAgainLocked() {
	again, err := net.Listen("tcp", s.address)
	if err != nil {
		return // the next change of faults tries again
	}
	s.tcp = again.(*net.TCPListener)
	go s.acceptLoop(s.tcp)
}

func (s *listener) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *listener) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.tcp != nil {
		s.tcp.Close()
	}
	s.wake()
}
