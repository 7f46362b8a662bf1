package policy

import "strings"

const (
	// judgingGateways is up to how many instances each sees enough of a host or a customer to judge by itself.
	judgingGateways = 12
	// maxProbeIntervalForPeers: a host is readmitted by a peer's word until its second ejection, then by a probe alone.
	maxProbeIntervalForPeers = 1
)

// peerView is how this instance stands among all API gateways.
type peerView struct {
	configured      float64 // API gateways
	live            float64 // of them, those that are there: by them shares are divided
	observedShare   float64 // part of a host's or a customer's traffic that this instance sees enough of to judge; 1 for few
	nextBroadcastAt float64
}

func newPeerView(gateways int) peerView {
	n := max(1, float64(gateways))
	return peerView{configured: n, live: n, observedShare: min(1, judgingGateways/n)}
}

// RefreshMembership brings up to now which API gateways are there: what all do is divided by their number, except for hard
// ceilings and slow start.
func (g *Gateway) RefreshMembership(now float64) {
	g.instance.Peers.Flush(now, g.output.SendPeer, g.output.Log)
	g.peers.live = g.instance.Peers.ShareDivisor(now, 0, int(g.peers.configured))
	g.peers.observedShare = min(1, judgingGateways/g.peers.live)
	g.instance.Overload.SetFleet(g.peers.live, len(g.hosts.ordered))
}

// MembershipDelay is how many seconds may pass until the next RefreshMembership.
func (g *Gateway) MembershipDelay(now float64) float64 { return g.instance.Peers.Wait(now) }

// PeerMessage takes a peer's message: one of membership or overload, "=plan customer" for a customer over its quota, "-host"
// to ask for word of a host, or "+host" for one that answers.
func (g *Gateway) PeerMessage(now float64, from int, text string) {
	if g.instance.Peers.Receive(now, from, text) || g.instance.Overload.Receive(now, from, text) {
		g.RefreshMembership(now)
	} else if plan, name, ok := strings.Cut(strings.TrimPrefix(text, "="), " "); ok && g.plans[plan] != nil {
		c := g.customer(now, Request{Plan: plan, Customer: name, GatewayCount: g.instance.Gateways})
		c.local.cut(now, peerOverQuotaCut)
		return
	}
	h := g.hosts.byAddr[strings.TrimLeft(text, "+-")]
	switch {
	case h == nil:
	case text[0] == '-':
		h.health.peerAsked = true
	case text[0] == '+' && h.active && h.health.probeInterval <= maxProbeIntervalForPeers:
		g.readmit(h, "a peer reports good answers")
	}
}

// broadcast sends a message to all peers, or drops it. Guards against peers drowning each other: few say the same, and all
// together half of what one takes in.
func (g *Gateway) broadcast(now float64, text string) {
	if g.limits.PeerMessages && now >= g.peers.nextBroadcastAt && g.random.Float64() < g.peers.observedShare {
		g.peers.nextBroadcastAt = now + 2*g.peers.observedShare*g.peers.configured/max(1, g.limits.PeerMessageRate)
		g.output.SendPeer(allPeers, text)
	}
}
