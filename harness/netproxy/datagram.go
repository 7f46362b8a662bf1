package netproxy

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// maxDatagram is the largest datagram in bytes.
const maxDatagram = 64 << 10

// DatagramProxy leads the datagrams between n processes over links. The others know each process by a socket of the proxy, which also
// sends on what comes from it: so each sees the sender that it knows.
type DatagramProxy struct {
	sockets   []*net.UDPConn   // by process: the one that it is known by
	processes []netip.AddrPort // where they listen
	numbers   map[netip.AddrPort]int
	link      func(from, to int) *Link
	observe   func(from, to int)

	mu      sync.Mutex // guards all below
	delayed []delayedDatagram
	timer   *time.Timer
	closed  bool
}

// delayedDatagram is one that waits for its time. They are kept by time; of two for the same moment the one that came first is first.
type delayedDatagram struct {
	due  time.Time
	send func()
}

// NewDatagramProxy takes the addresses at which the processes listen. link gives the link between two of them, by their numbers in
// that list. observe is called for each datagram before it goes on.
func NewDatagramProxy(processes []string, link func(from, to int) *Link, observe func(from, to int)) (*DatagramProxy, error) {
	m := &DatagramProxy{numbers: map[netip.AddrPort]int{}, link: link, observe: observe}
	for number, process := range processes {
		if err := m.addProcess(number, process); err != nil {
			m.Close()
			return nil, err
		}
	}
	for to, socket := range m.sockets {
		go m.readLoop(to, socket)
	}
	return m, nil
}

func (m *DatagramProxy) addProcess(number int, process string) error {
	address, err := netip.ParseAddrPort(process)
	if err != nil {
		return err
	}
	m.processes = append(m.processes, address)
	m.numbers[address] = number
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	m.sockets = append(m.sockets, socket)
	return nil
}

// Addresses are those under which the processes know each other, in the order of the list.
func (m *DatagramProxy) Addresses() []string {
	var all []string
	for _, socket := range m.sockets {
		all = append(all, socket.LocalAddr().String())
	}
	return all
}

// Close ends it. Delayed datagrams are lost.
func (m *DatagramProxy) Close() {
	for _, socket := range m.sockets {
		socket.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.delayed = nil
	if m.timer != nil {
		m.timer.Stop()
	}
}

// sendLater sends after a delay. There is one timer for all: with one each, a busy machine would send two with the same delay out of
// order.
func (m *DatagramProxy) sendLater(delay time.Duration, send func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	datagram := delayedDatagram{due: time.Now().Add(delay), send: send}
	i, _ := slices.BinarySearchFunc(m.delayed, datagram, func(a, b delayedDatagram) int {
		if a.due.After(b.due) {
			return 1
		}
		return -1
	})
	m.delayed = slices.Insert(m.delayed, i, datagram)
	m.sendDueLocked()
}

// sendDueLocked sends what is due and sets the timer for the next. Called with mu held.
func (m *DatagramProxy) sendDueLocked() {
	if m.closed {
		return
	}
	for len(m.delayed) > 0 && !m.delayed[0].due.After(time.Now()) {
		m.delayed[0].send()
		m.delayed = m.delayed[1:]
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	if len(m.delayed) == 0 {
		return
	}
	m.timer = time.AfterFunc(time.Until(m.delayed[0].due), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.sendDueLocked()
	})
}

// readLoop reads what is sent to a process until the proxy is closed. A closed socket of a process shows as an error of a read here
// and ends nothing.
func (m *DatagramProxy) readLoop(to int, socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from, ok := m.numbers[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if !ok {
			continue // from no process of the list
		}
		m.observe(from, to)
		m.pass(from, to, append([]byte(nil), buffer[:n]...))
	}
}

// pass sends one datagram on, as the faults of its link allow. On a stalled link it is lost.
func (m *DatagramProxy) pass(from, to int, datagram []byte) {
	delay, times := m.link(from, to).drawDatagram()
	if times == 0 {
		return
	}
	send := func() {
		for range times {
			_, _ = m.sockets[from].WriteToUDPAddrPort(datagram, m.processes[to]) // one that can't be sent is lost, as on a network
		}
	}
	if delay > 0 {
		m.sendLater(seconds(delay), send)
		return
	}
	send()
}

// drawDatagram draws how long a datagram is delayed, in seconds, and how many times it arrives.
func (l *Link) drawDatagram() (delay float64, times int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := l.faultLocked(Forward)
	if fault.Stall || l.random.Chance(fault.LossProbability) {
		return 0, 0
	}
	delay = fault.Delay
	if fault.ReorderProbability > 0 && !l.random.Chance(fault.ReorderProbability) {
		delay = 0
	}
	if fault.Jitter > 0 {
		delay += l.random.Exponential(fault.Jitter)
	}
	if l.random.Chance(fault.DuplicateProbability) {
		return delay, 2
	}
	return delay, 1
}
