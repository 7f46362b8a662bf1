package policy

import "strings"

const (
	// maxFullViewGateways is the number of instances up to which each sees enough of the traffic of a host or a customer to decide
	// by its own observations.
	maxFullViewGateways = 12
	// maxPeerReadmitInterval is the largest probe interval of a host that a peer's report may readmit, in seconds. A second
	// ejection in a row exceeds it, and then only a probe readmits the host.
	maxPeerReadmitInterval = 1
)

// peerView is what this instance knows of the other API gateways.
type peerView struct {
	configured      float64 // number of configured API gateways
	live            float64 // number of live API gateways, by which shares are divided
	observedShare   float64 // maxFullViewGateways over live; 1 if there are at most that many
	nextBroadcastAt float64 // earliest time of the next broadcast
}

func newPeerView(gateways int) peerView {
	n := max(1, float64(gateways))
	return peerView{configured: n, live: n, observedShare: min(1, maxFullViewGateways/n)}
}

// RefreshMembership updates the number of live API gateways. All shares are divided by it, except for hard ceilings and slow
// start.
func (g *Gateway) RefreshMembership(now float64) {
	g.instance.Peers.Flush(now, g.output.SendPeer, g.output.Log)
	g.peers.live = g.instance.Peers.ShareDivisor(now, 0, int(g.peers.configured))
	g.peers.observedShare = min(1, maxFullViewGateways/g.peers.live)
	g.instance.Overload.SetFleet(g.peers.live, len(g.hosts.ordered))
}

// MembershipDelay returns the time until the next call of RefreshMembership is due, in seconds.
func (g *Gateway) MembershipDelay(now float64) float64 { return g.instance.Peers.Wait(now) }

// PeerMessage processes a peer's message: one of package membership or overload, "=plan customer" for a customer over its quota,
// "-host" for a host that the peer has ejected and asks about, or "+host" for a host that answers.
func (g *Gateway) PeerMessage(now float64, from int, text string) {
	if g.instance.Peers.Receive(now, from, text) || g.instance.Overload.Receive(now, from, text) {
		g.RefreshMembership(now)
	} else if plan, name, ok := strings.Cut(strings.TrimPrefix(text, "="), " "); ok && g.plans[plan] != nil {
		c := g.customer(now, Request{Plan: plan, Customer: name, GatewayCount: g.instance.Gateways})
		c.local.cutAdmitFraction(now, peerOverQuotaFactor)
		return
	}
	h := g.hosts.byAddr[strings.TrimLeft(text, "+-")]
	switch {
	case h == nil:
	case text[0] == '-':
		h.health.peerQueried = true
	case text[0] == '+' && h.active && h.health.probeInterval <= maxPeerReadmitInterval:
		g.readmit(h, "a peer reported successful answers")
	}
}

// broadcast sends a message to all peers, or drops it. So that instances don't overload each other, only a few send the same
// message, and all together send at most half of the messages that one accepts.
func (g *Gateway) broadcast(now float64, text string) {
	if g.limits.PeerMessages && now >= g.peers.nextBroadcastAt && g.random.Float64() < g.peers.observedShare {
		g.peers.nextBroadcastAt = now + 2*g.peers.observedShare*g.peers.configured/max(1, g.limits.PeerMessageRate)
		g.output.SendPeer(allPeers, text)
	}
}
