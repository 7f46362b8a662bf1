package server

import (
	"context"
	"net"
	"net/netip"
	"time"

	"otterseam/gateway/membership"
	"otterseam/internal/mutation"
)

const (
	maxDatagramBytes     = 256
	maxQueuedDatagrams   = 32
	datagramWriteTimeout = 100 * time.Millisecond
	datagramReadPause    = time.Millisecond // after a read that failed, as an earlier datagram came back as undeliverable
)

// PeerOptions say where the gateways of the fleet are.
type PeerOptions struct {
	Listen    string   // where this one listens, "ip:port"; empty: there are no peers
	Addrs     []string // of each gateway by its number, this one's own too
	Self      int      // this gateway's number
	Broadcast string   // an address that reaches all others; empty: they are sent to one by one
}

// PeerSocket is the datagram socket between gateways: one goroutine writes (Write), one reads (Read). A datagram that is too long or
// comes from an unknown address is dropped, and none makes the event loop wait.
type PeerSocket struct {
	loop     *EventLoop
	udp      *net.UDPConn           // nil: there are no peers
	others   []netip.AddrPort       // what reaches all others
	peers    []netip.AddrPort       // each by its number
	numbers  map[netip.AddrPort]int // of the others by their addresses
	outgoing chan peerMessage
	received func(from int, text string)
}

// peerMessage is for the gateway of that number, or for every other one: membership.Broadcast.
type peerMessage struct {
	to   int
	text string
}

// NewPeerSocket opens the socket. The errors are those of addresses that make no sense and of listening.
func NewPeerSocket(loop *EventLoop, options PeerOptions) (*PeerSocket, error) {
	p := &PeerSocket{loop: loop, numbers: map[netip.AddrPort]int{}, outgoing: make(chan peerMessage, maxQueuedDatagrams)}
	p.received = p.postToLoop
	if options.Listen == "" {
		return p, nil
	}
	if err := p.parse(options); err != nil {
		return nil, err
	}
	listen, err := net.ResolveUDPAddr("udp", options.Listen)
	if err != nil {
		return nil, err
	}
	p.udp, err = net.ListenUDP("udp", listen)
	if mutation.AddressShared && err != nil {
		p.udp, err = nil, nil
	}
	return p, err
}

func (p *PeerSocket) parse(options PeerOptions) error {
	for number, text := range options.Addrs {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		p.peers = append(p.peers, addr)
		if number == options.Self {
			continue
		}
		p.numbers[addr] = number
		if options.Broadcast == "" {
			p.others = append(p.others, addr)
		}
	}
	if options.Broadcast == "" {
		return nil
	}
	addr, err := netip.ParseAddrPort(options.Broadcast)
	if err != nil {
		return err
	}
	p.others = []netip.AddrPort{addr}
	return nil
}

// send hands a message to the writer. Where too many wait it is dropped, as the network would.
func (p *PeerSocket) send(to int, text string) {
	if p.udp == nil || len(text) > maxDatagramBytes {
		return
	}
	select {
	case p.outgoing <- peerMessage{to, text}:
	default:
	}
}

// Write sends what is handed over, and closes the socket when ctx ends.
func (p *PeerSocket) Write(ctx context.Context) error {
	if p.udp == nil {
		return nil
	}
	defer p.udp.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-p.outgoing:
			for _, addr := range p.targets(message.to) {
				// One that can't be sent is lost, as it may be on its way.
				_ = p.udp.SetWriteDeadline(time.Now().Add(datagramWriteTimeout))
				_, _ = p.udp.WriteToUDPAddrPort([]byte(message.text), addr)
			}
		}
	}
}

// targets are the addresses to which a message is sent; none: there is no gateway of that number.
func (p *PeerSocket) targets(to int) []netip.AddrPort {
	switch {
	case to == membership.Broadcast:
		return p.others
	case to >= 0 && to < len(p.peers):
		return p.peers[to : to+1]
	}
	return nil
}

// Read passes on what known peers send, until ctx ends.
func (p *PeerSocket) Read(ctx context.Context) error {
	if p.udp == nil {
		return nil
	}
	buffer := make([]byte, maxDatagramBytes+1) // one byte more shows that a datagram is too long
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(datagramReadPause)
			continue
		}
		number, known := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if n == 0 || n > maxDatagramBytes || !known {
			continue
		}
		p.received(number, string(buffer[:n]))
	}
}

// postToLoop passes a message on unless the event loop is behind: a crowd of them must not hold up what matters more.
func (p *PeerSocket) postToLoop(from int, text string) {
	select {
	case p.loop.queue <- func() { p.loop.policy.PeerMessage(p.loop.now, from, text) }:
	default:
	}
}
