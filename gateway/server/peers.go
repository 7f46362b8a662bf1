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
const datagram = 256

type Peers struct {
	loop  *Loop
	udp   *net.UDPConn
	to    []netip.AddrPort       // what reaches all others
	one   []netip.AddrPort       // each by its number
	known map[netip.AddrPort]int // by address
	lines chan line
	heard func(from int, text string)
}

// line is a message to an api gateway by its number, or to all others.
type line struct {
	to   int
	text string
}

// NewPeers opens the socket; with no address to listen on there are no peers, and nothing is sent.
func NewPeers(loop *Loop, listen string, me int, peers []string, all string) (*Peers, error) {
	p := &Peers{loop: loop, known: map[netip.AddrPort]int{}, lines: make(chan line, 32)}
	p.heard = p.toLoop
	if listen == "" {
		return p, nil
	}
	for i, s := range peers {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		if p.one = append(p.one, a); i == me {
			continue
		}
		if p.known[a] = i; all == "" {
			p.to = append(p.to, a)
		}
	}
	if all != "" {
		a, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, err
		}
		p.to = []netip.AddrPort{a}
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	p.udp, err = net.ListenUDP("udp", at)
	if mutation.AddressShared && err != nil {
		p.udp, err = nil, nil
	}
	return p, err
}

// send hands a message over for a peer or all; a crowd of them is thinned out here, as the network would.
func (p *Peers) send(to int, text string) {
	if p.udp == nil || len(text) > datagram {
		return
	}
	select {
	case p.lines <- line{to, text}:
	default:
	}
}

// Write sends what is handed over, and closes the socket at the end.
func (p *Peers) Write(ctx context.Context) error {
	if p.udp == nil {
		return nil
	}
	defer p.udp.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-p.lines:
			to := p.to
			if l.to != membership.Broadcast {
				to = nil
				if l.to >= 0 && l.to < len(p.one) {
					to = p.one[l.to : l.to+1]
				}
			}
			for _, a := range to {
				p.udp.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
				p.udp.WriteToUDPAddrPort([]byte(l.text), a)
			}
		}
	}
}

// Read passes on what known peers say.
func (p *Peers) Read(ctx context.Context) error {
	if p.udp == nil {
		return nil
	}
	b := make([]byte, datagram+1)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil { // an earlier datagram came back as undeliverable
			time.Sleep(time.Millisecond)
			continue
		}
		who, ok := p.known[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if n == 0 || n > datagram || !ok {
			continue
		}
		p.heard(who, string(b[:n]))
	}
}

// toLoop passes a message on unless the loop is behind: the crowd of them must not hold up what matters more.
func (p *Peers) toLoop(from int, text string) {
	select {
	case p.loop.queue <- func() { p.loop.module.PeerMessage(p.loop.now, from, text) }:
	default:
	}
}
