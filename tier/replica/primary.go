package replica

import "slices"

const (
	// unresponsiveAfter is how long a replica with outstanding entries may be silent before it counts as unresponsive, in
	// milliseconds.
	unresponsiveAfter = 450
	// heartbeatInterval is the time without other messages to a replica after which a heartbeat is sent, in milliseconds.
	heartbeatInterval = 100
)

// primaryState is the state that a replica has only while it is the primary of its view.
type primaryState struct {
	peers     map[uint64]*progress // the other replicas of the view
	admitting map[uint64]bool      // replicas that are being admitted to the in-sync set; commits already wait for them
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

// peer returns the progress of another replica. It returns nil if that replica is not in the view or this one is not primary.
func (g *Group) peer(id uint64) *progress {
	if g.primary == nil {
		return nil
	}
	return g.primary.peers[id]
}

// updatePeers adds and removes peers to match the replicas of the view.
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

// Propose appends a command and returns its index. It may only be called on a primary.
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

// handleAck records up to which index the log is durable at a replica and sends the entries after it.
func (g *Group) handleAck(peer *progress, index uint64, now int64) {
	if index > peer.match {
		peer.inFlight = max(0, peer.inFlight-g.log.bytesBetween(peer.match, index))
		peer.match = index
		peer.resends = 0
	}
	if peer.transfer != nil && peer.match >= min(peer.transfer.snapshot.index, g.log.base.index) {
		g.endTransfer(peer)
		peer.transferBackoff.cancelled = 0
		peer.resumeAfterMatch()
	}
	if peer.probing {
		peer.probing = false
		peer.resumeAfterMatch()
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

// handleLogMismatch moves back in the log to find an entry that both logs contain.
func (g *Group) handleLogMismatch(peer *progress, index uint64, now int64) {
	if peer.transfer != nil {
		g.restartLostTransfer(peer, now)
		return
	}
	peer.probing = true
	peer.inFlight = 0
	if index < peer.match {
		// Its disk has less than it acknowledged, so the entries counted as durable there must be written again.
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
	case (heartbeats || !g.view.IsInSync(peer.id)) && unanswered >= heartbeatInterval:
		g.sendEntries(peer, now)
	}
}

// Unresponsive returns the replicas, in sync or being admitted, that have not responded to outstanding entries for too long.
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

// CaughtUp returns the replicas that could join the in-sync set. They have all entries up to the one that opened this primary's
// epoch, any of which may have been committed earlier, and all entries committed since. The primary need not be ready: it may be
// waiting for a replica that will never come back, and another one must be able to replace that replica. Replicas that have not
// sent a message recently are not included, whatever they had before.
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

// Admit makes commits wait for a replica from now on. It must be called before the replica is added to the in-sync set: an in-sync
// replica may become primary at any time and must have all committed entries.
func (g *Group) Admit(id uint64) {
	if g.primary != nil && g.matchOf(id) >= g.commit.committed {
		g.primary.admitting[id] = true
	}
}

// matchOf returns the index up to which a replica has acknowledged the log, or 0 if it is not in the view.
func (g *Group) matchOf(id uint64) uint64 {
	if peer := g.peer(id); peer != nil {
		return peer.match
	}
	return 0
}
