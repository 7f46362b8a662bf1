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

// DatagramProxy forwards the datagrams between n processes over links. Each process has a socket of the proxy, whose address the other
// processes use for it. Datagrams from the process are forwarded through the same socket, so that receivers see the address that they
// know as the sender.
type DatagramProxy struct {
	sockets   []*net.UDPConn   // by process number: the socket whose address the others use
	processes []netip.AddrPort // by process number: the listening address
	numbers   map[netip.AddrPort]int
	link      func(from, to int) *Link
	observe   func(from, to int)

	mu      sync.Mutex // guards all below
	delayed []delayedDatagram
	timer   *time.Timer
	closed  bool
}

// delayedDatagram is a datagram to be sent at a later time. The list is sorted by due time, and by arrival among equal due times.
type delayedDatagram struct {
	due  time.Time
	send func()
}

// NewDatagramProxy starts a proxy between processes, which are given by their listening addresses. link returns the link between two
// processes, which it gets as indexes into that list. observe is called for each datagram before it is forwarded.
func NewDatagramProxy(processes []string, link func(from, to int) *Link, observe func(from, to int)) (*DatagramProxy, error) {
	p := &DatagramProxy{numbers: map[netip.AddrPort]int{}, link: link, observe: observe}
	for number, process := range processes {
		if err := p.addProcess(number, process); err != nil {
			p.Close()
			return nil, err
		}
	}
	for to, socket := range p.sockets {
		go p.readLoop(to, socket)
	}
	return p, nil
}

func (p *DatagramProxy) addProcess(number int, process string) error {
	address, err := netip.ParseAddrPort(process)
	if err != nil {
		return err
	}
	p.processes = append(p.processes, address)
	p.numbers[address] = number
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	p.sockets = append(p.sockets, socket)
	return nil
}

// Addresses returns the addresses that the processes use for each other, in the order of the list of processes.
func (p *DatagramProxy) Addresses() []string {
	var all []string
	for _, socket := range p.sockets {
		all = append(all, socket.LocalAddr().String())
	}
	return all
}

// Close closes the proxy's sockets. Delayed datagrams are lost.
func (p *DatagramProxy) Close() {
	for _, socket := range p.sockets {
		socket.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.delayed = nil
	if p.timer != nil {
		p.timer.Stop()
	}
}

// sendAfter calls send after a delay. All delayed datagrams share one timer, because with a timer for each one a busy machine would send
// two datagrams with the same delay out of order.
func (p *DatagramProxy) sendAfter(delay time.Duration, send func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	datagram := delayedDatagram{due: time.Now().Add(delay), send: send}
	i, _ := slices.BinarySearchFunc(p.delayed, datagram, func(a, b delayedDatagram) int {
		if a.due.After(b.due) {
			return 1
		}
		return -1
	})
	p.delayed = slices.Insert(p.delayed, i, datagram)
	p.sendDueLocked()
}

// sendDueLocked sends the due datagrams and sets the timer for the next one. The caller holds mu.
func (p *DatagramProxy) sendDueLocked() {
	if p.closed {
		return
	}
	for len(p.delayed) > 0 && !p.delayed[0].due.After(time.Now()) {
		p.delayed[0].send()
		p.delayed = p.delayed[1:]
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	if len(p.delayed) == 0 {
		return
	}
	p.timer = time.AfterFunc(time.Until(p.delayed[0].due), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.sendDueLocked()
	})
}

// readLoop reads the datagrams for a process until the proxy is closed. It ignores other read errors, which occur for example when a
// process has closed its socket.
func (p *DatagramProxy) readLoop(to int, socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from, ok := p.numbers[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if !ok {
			continue // the sender isn't a process of the list
		}
		p.observe(from, to)
		p.forward(from, to, append([]byte(nil), buffer[:n]...))
	}
}

// forward sends one datagram to its receiver, subject to the faults of its link. A stalled link loses the datagram.
func (p *DatagramProxy) forward(from, to int, datagram []byte) {
	delay, times := p.link(from, to).drawDatagram()
	if times == 0 {
		return
	}
	send := func() {
		for range times {
			_, _ = p.sockets[from].WriteToUDPAddrPort(datagram, p.processes[to]) // a datagram that can't be sent is lost, as on a network
		}
	}
	if delay > 0 {
		p.sendAfter(seconds(delay), send)
		return
	}
	send()
}

// drawDatagram draws the delay of a datagram in seconds and the number of times that it arrives.
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
