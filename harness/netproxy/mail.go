package netproxy

// This file owns datagrams between processes: each process is known to the others by a socket of ours, which passes on
// what comes from one to the other, so that each sees the sender it knows.

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Mail leads the datagrams between n processes.
type Mail struct {
	socks []*net.UDPConn
	own   []netip.AddrPort // where the processes listen
	from  map[netip.AddrPort]int
	links func(from, to int) *Link
	seen  func(from, to int)

	mu    sync.Mutex
	later []later // by when they go on; of two for one moment the one that came first is first
	timer *time.Timer
	over  bool
}

// later is a datagram that is held up.
type later struct {
	at   time.Time
	send func()
}

// NewMail takes the addresses at which the processes listen; Addrs are those under which they know each other. seen is
// called for each datagram before it goes on.
func NewMail(own []string, links func(from, to int) *Link, seen func(from, to int)) (*Mail, error) {
	m := &Mail{from: map[netip.AddrPort]int{}, links: links, seen: seen}
	for i, a := range own {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			m.Close()
			return nil, err
		}
		m.own = append(m.own, addr)
		m.from[addr] = i
		s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			m.Close()
			return nil, err
		}
		m.socks = append(m.socks, s)
	}
	for to, s := range m.socks {
		go m.read(to, s)
	}
	return m, nil
}

// Addrs are the addresses under which the processes know each other.
func (m *Mail) Addrs() (all []string) {
	for _, s := range m.socks {
		all = append(all, s.LocalAddr().String())
	}
	return all
}

// Close ends it.
func (m *Mail) Close() {
	for _, s := range m.socks {
		s.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.over, m.later = true, nil
	if m.timer != nil {
		m.timer.Stop()
	}
}

// hold sends later. One timer for all: with one each, a busy machine sends two that are held up alike out of order.
func (m *Mail) hold(wait time.Duration, send func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := later{time.Now().Add(wait), send}
	i, _ := slices.BinarySearchFunc(m.later, x, func(a, b later) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	m.later = slices.Insert(m.later, i, x)
	m.wake()
}

// wake sends what is due, and sets the timer for the next.
func (m *Mail) wake() {
	if m.over {
		return
	}
	for len(m.later) > 0 && !m.later[0].at.After(time.Now()) {
		m.later[0].send()
		m.later = m.later[1:]
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	if len(m.later) > 0 {
		m.timer = time.AfterFunc(time.Until(m.later[0].at), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.wake()
		})
	}
}

func (m *Mail) read(to int, s *net.UDPConn) {
	for b := make([]byte, 64<<10); ; {
		n, addr, err := s.ReadFromUDPAddrPort(b)
		if err != nil {
			if n == 0 && addr.IsValid() {
				continue
			}
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			if isClosed(err) {
				return
			}
			continue
		}
		from, ok := m.from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if !ok {
			continue // of no process of ours
		}
		m.seen(from, to)
		m.pass(from, to, append([]byte(nil), b[:n]...))
	}
}

func isClosed(err error) bool {
	op, ok := err.(*net.OpError)
	return ok && op.Err == net.ErrClosed || err == net.ErrClosed
}

// pass lets the faults of a link strike one datagram, and sends what is left of it. A datagram held back is lost.
func (m *Mail) pass(from, to int, b []byte) {
	l := m.links(from, to)
	l.mu.Lock()
	s := l.sum(There)
	if s.Hold || l.dice.Chance(s.Lose) {
		l.Lost[There]++
		l.mu.Unlock()
		return
	}
	wait, times := s.Delay, 1
	if s.Late > 0 {
		if wait = 0; l.dice.Chance(s.Late) {
			wait = s.Delay
		}
	}
	if s.Jitter > 0 {
		wait += l.dice.Exponential(s.Jitter)
	}
	if l.dice.Chance(s.Double) {
		times = 2
	}
	l.Passed[There] += int64(times)
	l.mu.Unlock()
	send := func() {
		for range times {
			m.socks[from].WriteToUDPAddrPort(b, m.own[to])
		}
	}
	if wait > 0 {
		m.hold(time.Duration(wait*1e9), send)
		return
	}
	send()
}
