package server

// This file owns the datagram socket between api gateways. It must never trust a datagram: one that is too long or
// comes from an unknown address is dropped, and none may make the loop wait.

import (
	"context"
	"net"
	"net/netip"
	"time"

	"otterseam/gateway/membership"
	"otterseam/internal/mutation"
)

// datagram is the most bytes one may hold.
const maxDatagram = 256

type PeerSocket struct {
	loop     *EventLoop
	udp      *net.UDPConn
	others   []netip.AddrPort       // what reaches all others
	peers    []netip.AddrPort       // each by its number
	numbers  map[netip.AddrPort]int // by address
	outgoing chan peerMessage
	received func(from int, text string)
}

// line is a message to an api gateway by its number, or to all others.
type peerMessage struct {
	to   int
	text string
}

// NewPeers opens the socket; with no address to listen on there are no peers, and nothing is sent.
func NewPeerSocket(loop *EventLoop, listen string, self int, addrs []string, broadcast string) (*PeerSocket, error) {
	p := &PeerSocket{loop: loop, numbers: map[netip.AddrPort]int{}, outgoing: make(chan peerMessage, 32)}
	p.received = p.postToLoop
	if listen == "" {
		return p, nil
	}
	for i, text := range addrs {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		if p.peers = append(p.peers, addr); i == self {
			continue
		}
		if p.numbers[addr] = i; broadcast == "" {
			p.others = append(p.others, addr)
		}
	}
	if broadcast != "" {
		addr, err := netip.ParseAddrPort(broadcast)
		if err != nil {
			return nil, err
		}
		p.others = []netip.AddrPort{addr}
	}
	local, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	p.udp, err = net.ListenUDP("udp", local)
	if mutation.AddressShared && err != nil {
		p.udp, err = nil, nil
	}
	return p, err
}

// send hands a message over for a peer or all; a crowd of them is thinned out here, as the network would.
func (p *PeerSocket) send(to int, text string) {
	if p.udp == nil || len(text) > maxDatagram {
		return
	}
	select {
	case p.outgoing <- peerMessage{to, text}:
	default:
	}
}

// Write sends what is handed over, and closes the socket at the end.
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
			targets := p.others
			if message.to != membership.Broadcast {
				targets = nil
				if message.to >= 0 && message.to < len(p.peers) {
					targets = p.peers[message.to : message.to+1]
				}
			}
			for _, addr := range targets {
				p.udp.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
				p.udp.WriteToUDPAddrPort([]byte(message.text), addr)
			}
		}
	}
}

// Read passes on what known peers say.
func (p *PeerSocket) Read(ctx context.Context) error {
	if p.udp == nil {
		return nil
	}
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // an earlier datagram came back as undeliverable
			time.Sleep(time.Millisecond)
			continue
		}
		number, ok := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if n == 0 || n > maxDatagram || !ok {
			continue
		}
		p.received(number, string(buffer[:n]))
	}
}

// toLoop passes a message on unless the loop is behind: the crowd of them must not hold up what matters more.
func (p *PeerSocket) postToLoop(from int, text string) {
	select {
	case p.loop.queue <- func() { p.loop.policy.PeerMessage(p.loop.now, from, text) }:
	default:
	}
}
