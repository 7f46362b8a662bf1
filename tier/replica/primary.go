package replica

import "slices"

const (
	// unresponsiveAfter is how long a replica may owe an answer before it counts as unresponsive, in milliseconds.
	unresponsiveAfter = 450
	// heartbeatEvery is how long nothing is sent to a replica before a heartbeat is, in milliseconds.
	heartbeatEvery = 100
)

// primaryState is what a replica knows while it is the primary of its view.
type primaryState struct {
	peers     map[uint64]*progress // the other replicas of the view
	admitting map[uint64]bool      // replicas asked into the in-sync set: commits wait for them already
	contact   primaryContact
}

func (g *Group) becomePrimary(now int64) {
	g.primary = &primaryState{
		peers:     map[uint64]*progress{},
		admitting: map[uint64]bool{},
		contact:   newPrimaryContact(now),
	}
	g.backup.incoming = nil
	g.epochStart = g.log.lastIndex() + 1
	g.updatePeers(now)
	g.probeAll(now)
	g.Propose(nil, now)
}

func (g *Group) stepDown() {
	if g.primary == nil {
		return
	}
	g.output.SteppedDown = true
	g.Close()
	g.primary = nil
}

// peer is the progress of another replica, nil for one that is not of the view or if this replica is no primary.
func (g *Group) peer(id uint64) *progress {
	if g.primary == nil {
		return nil
	}
	return g.primary.peers[id]
}

// updatePeers follows the replicas of the view.
func (g *Group) updatePeers(now int64) {
	peers := g.primary.peers
	for id, peer := range peers {
		if !slices.Contains(g.view.Replicas, id) {
			g.endTransfer(peer)
			delete(peers, id)
		}
	}
	for _, id := range g.view.Replicas {
		if id != g.self && peers[id] == nil {
			peers[id] = &progress{id: id, next: g.log.lastIndex() + 1, probing: true, lastHeard: now}
		}
	}
}

// Propose appends a command and returns its index. Only a primary may be asked.
func (g *Group) Propose(command []byte, now int64) uint64 {
	entry := Entry{Index: g.log.lastIndex() + 1, Epoch: g.view.Epoch, Data: command}
	g.log.append(entry)
	g.write([]Entry{entry})
	opensEpoch := entry.Index == g.epochStart
	for _, id := range g.view.Replicas {
		peer := g.peer(id)
		if peer != nil && (opensEpoch || peer.replicates()) {
			g.sendEntries(peer, now)
		}
	}
	return entry.Index
}

func (g *Group) stepAsPrimary(from uint64, message Message, now int64) {
	peer := g.peer(from)
	if peer == nil {
		return
	}
	if message.Kind == MessageProbeResponse {
		g.handleProbeResponse(from, message.Probe, now)
		return
	}
	peer.lastHeard = now
	switch message.Kind {
	case MessageAck:
		g.handleAck(peer, message.Index, now)
	case MessageLogMismatch:
		g.handleLogMismatch(peer, message.Index, now)
	case MessageChunkAck:
		g.handleChunkAck(peer, message, now)
	}
}

// handleAck takes note of what is durable at a replica and sends what follows.
func (g *Group) handleAck(peer *progress, index uint64, now int64) {
	if index > peer.match {
		peer.inFlight = max(0, peer.inFlight-g.log.bytesBetween(peer.match, index))
		peer.match = index
		peer.resends = 0
	}
	if peer.transfer != nil && peer.match >= min(peer.transfer.snapshot.index, g.log.base.index) {
		g.endTransfer(peer)
		peer.transferBackoff.cancelled = 0
		peer.continueBehindMatch()
	}
	if peer.probing {
		peer.probing = false
		peer.continueBehindMatch()
	}
	peer.next = max(peer.next, peer.match+1)
	if peer.next == peer.match+1 {
		peer.inFlight = 0
	}
	if peer.transfer == nil && peer.next <= g.log.lastIndex() && peer.inFlight < maxInFlight {
		g.sendEntries(peer, now)
	}
	g.advanceCommit()
}

// handleLogMismatch looks for an entry further down that both logs hold.
func (g *Group) handleLogMismatch(peer *progress, index uint64, now int64) {
	if peer.transfer != nil {
		g.restartLostTransfer(peer, now)
		return
	}
	peer.probing = true
	peer.inFlight = 0
	if index < peer.match {
		// its disk holds less than it acknowledged: what it was counted for has to be written there again
		peer.match = 0
		g.output.Regressed = append(g.output.Regressed, peer.id)
	}
	if peer.next > index+1 {
		peer.next = index + 1
	} else if peer.next > 1 {
		peer.next--
	}
	g.sendEntries(peer, now)
}

func (g *Group) tickPeer(peer *progress, now int64, heartbeats bool) {
	unanswered := now - peer.lastSent
	switch {
	case peer.transfer != nil:
		g.tickTransfer(peer, now)
	case peer.match < g.log.lastIndex() || peer.probing:
		if now-peer.lastHeard > unresponsiveAfter {
			if unanswered > resendAfter {
				g.sendLogProbe(peer, now)
			}
			return
		}
		if unanswered > peer.resendDelay() {
			g.resendEntries(peer, now)
		}
	case (heartbeats || !g.view.IsInSync(peer.id)) && unanswered >= heartbeatEvery:
		g.sendEntries(peer, now)
	}
}

// Unresponsive lists replicas, in sync or being admitted, from which an answer has been due for too long.
func (g *Group) Unresponsive(now int64) []uint64 {
	if g.primary == nil {
		return nil
	}
	var ids []uint64
	for _, id := range g.view.Replicas {
		peer := g.peer(id)
		if peer == nil || (!g.view.IsInSync(id) && !g.primary.admitting[id]) {
			continue
		}
		if peer.match < g.log.lastIndex() && now-peer.lastHeard > unresponsiveAfter {
			ids = append(ids, id)
		}
	}
	return ids
}

// CaughtUp lists replicas that could join the in-sync set: those that hold all that was there when this primary's epoch opened,
// which may have been committed before, and all that was committed since. The primary need not be ready: it may be waiting for
// a replica that will never come back, and another must be able to take that one's place. Replicas that have not been heard in
// the last moment don't count, whatever they held.
func (g *Group) CaughtUp(now int64) []uint64 {
	if g.primary == nil {
		return nil
	}
	var ids []uint64
	for _, id := range g.view.Replicas {
		peer := g.peer(id)
		if peer == nil || g.view.IsInSync(id) {
			continue
		}
		if g.followsClosely(peer, now) && peer.match >= g.commit.committed {
			ids = append(ids, id)
		}
	}
	return ids
}

// Admit has commits wait for a replica from now on, before the in-sync set is asked to take it in: once the set holds it,
// it may become primary at any time and must lack nothing.
func (g *Group) Admit(id uint64) {
	if g.primary != nil && g.matchOf(id) >= g.commit.committed {
		g.primary.admitting[id] = true
	}
}

// matchOf is up to where a replica has acknowledged the log, 0 for one that is not of the view.
func (g *Group) matchOf(id uint64) uint64 {
	if peer := g.peer(id); peer != nil {
		return peer.match
	}
	return 0
}
