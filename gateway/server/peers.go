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
	datagramReadPause    = time.Millisecond // after a failed read, for example when an earlier datagram was undeliverable
)

// PeerOptions are the addresses of the gateways in the fleet.
type PeerOptions struct {
	Listen    string   // listen address, "ip:port"; empty: no peers
	Addrs     []string // address of each gateway, by gateway number, including this one
	Self      int      // this gateway's number
	Broadcast string   // an address that reaches all others; empty: broadcasts are sent to each peer individually
}

// PeerSocket is the UDP socket between gateways. One goroutine writes (Write), one reads (Read). Datagrams that are too long or
// come from an unknown address are dropped. Peer messages never block the event loop.
type PeerSocket struct {
	loop           *EventLoop
	udp            *net.UDPConn           // nil: no peers
	broadcastAddrs []netip.AddrPort       // where broadcasts are sent
	addrs          []netip.AddrPort       // by gateway number
	numberByAddr   map[netip.AddrPort]int // gateway numbers of the other gateways, by address
	outgoing       chan peerMessage
	onReceive      func(from int, text string)
}

// peerMessage is a message to the gateway with number to, or to all others if to is membership.Broadcast.
type peerMessage struct {
	to   int
	text string
}

// NewPeerSocket opens the socket. It returns an error if an address is invalid or listening fails.
func NewPeerSocket(loop *EventLoop, options PeerOptions) (*PeerSocket, error) {
	p := &PeerSocket{loop: loop, numberByAddr: map[netip.AddrPort]int{}, outgoing: make(chan peerMessage, maxQueuedDatagrams)}
	p.onReceive = p.postToLoop
	if options.Listen == "" {
		return p, nil
	}
	if err := p.parseAddrs(options); err != nil {
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

func (p *PeerSocket) parseAddrs(options PeerOptions) error {
	for number, text := range options.Addrs {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		p.addrs = append(p.addrs, addr)
		if number == options.Self {
			continue
		}
		p.numberByAddr[addr] = number
		if options.Broadcast == "" {
			p.broadcastAddrs = append(p.broadcastAddrs, addr)
		}
	}
	if options.Broadcast == "" {
		return nil
	}
	addr, err := netip.ParseAddrPort(options.Broadcast)
	if err != nil {
		return err
	}
	p.broadcastAddrs = []netip.AddrPort{addr}
	return nil
}

// send queues a message for Write. If the queue is full the message is dropped, like a datagram lost in the network.
func (p *PeerSocket) send(to int, text string) {
	if p.udp == nil || len(text) > maxDatagramBytes {
		return
	}
	select {
	case p.outgoing <- peerMessage{to, text}:
	default:
	}
}

// Write sends the queued messages, and closes the socket when ctx ends.
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
			for _, addr := range p.destinations(message.to) {
				// A failed send is ignored, like a datagram lost in the network.
				_ = p.udp.SetWriteDeadline(time.Now().Add(datagramWriteTimeout))
				_, _ = p.udp.WriteToUDPAddrPort([]byte(message.text), addr)
			}
		}
	}
}

// destinations returns the addresses to which a message is sent, or none if no gateway has that number.
func (p *PeerSocket) destinations(to int) []netip.AddrPort {
	switch {
	case to == membership.Broadcast:
		return p.broadcastAddrs
	case to >= 0 && to < len(p.addrs):
		return p.addrs[to : to+1]
	}
	return nil
}

// Read passes on the datagrams of known peers until ctx ends.
func (p *PeerSocket) Read(ctx context.Context) error {
	if p.udp == nil {
		return nil
	}
	buffer := make([]byte, maxDatagramBytes+1) // one extra byte, to detect datagrams that are too long
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(datagramReadPause)
			continue
		}
		number, known := p.numberByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if n == 0 || n > maxDatagramBytes || !known {
			continue
		}
		p.onReceive(number, string(buffer[:n]))
	}
}

// postToLoop posts a message to the event loop, and drops it if the queue is full: a burst of peer messages must not delay more
// important events.
func (p *PeerSocket) postToLoop(from int, text string) {
	select {
	case p.loop.queue <- func() { p.loop.policy.PeerMessage(p.loop.now, from, text) }:
	default:
	}
}
