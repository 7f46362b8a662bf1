package replica

import (
	"otterseam/tier/codec"
)

// MessageKind tells what a message between replicas says.
type MessageKind uint8

// The kinds of messages between replicas.
const (
	// MessageAppend carries entries behind one that both are to hold.
	MessageAppend MessageKind = iota + 1
	// MessageSnapshotChunk carries a piece of a snapshot, for a replica whose log can't be continued.
	MessageSnapshotChunk
	// MessageAck says what is durable at a replica.
	MessageAck
	// MessageLogMismatch says that the entry before the appended ones isn't held.
	MessageLogMismatch
	// MessageStaleEpoch says that the sender's epoch has passed.
	MessageStaleEpoch
	// MessageChunkAck says how many bytes of a snapshot a replica holds.
	MessageChunkAck
	// MessageProbe asks a backup to confirm the primary, and confirms the backup.
	MessageProbe
	// MessageProbeResponse confirms the primary.
	MessageProbeResponse
)

// Message is what replicas of a group say to each other.
type Message struct {
	Kind      MessageKind
	Epoch     uint64
	Index     uint64 // before the entries, of the snapshot, or durable
	PrevEpoch uint64 // epoch of the entry at Index
	Commit    uint64
	Entries   []Entry
	Offset    uint32 // of a piece in the snapshot, or bytes held of it
	Total     uint32 // bytes of the snapshot
	Checksum  uint32 // of the snapshot
	Chunk     []byte // a piece of the snapshot
	Probe     Probe  // of probes and their answers alone
}

const (
	maxAppendBytes   = 256 << 10
	maxInFlight      = 2 << 20 // bytes of entries sent to a replica and not acknowledged
	resendAfter      = 150     // milliseconds; twice as long each second time without progress, up to the limit
	resendLimit      = 2400
	smallestEntry    = 8 + 8 + 4
	complainAfter    = 450
	admitLag         = 64 // entries that a replica may lack when it is asked into the in-sync set
	heartbeatSilence = 100
	admitHeard       = 300 // milliseconds within which a replica has to have been heard to be taken in
)

// sendEntries sends what a replica lacks, or an empty append as a heartbeat.
func (g *Group) sendEntries(id uint64, peer *progress, now int64) {
	prevEpoch, known := g.epochAt(peer.next - 1)
	if !known {
		g.startTransfer(id, peer, now)
		return
	}
	message := Message{Kind: MessageAppend, Epoch: g.view.Epoch, Index: peer.next - 1, PrevEpoch: prevEpoch, Commit: g.commit}
	size := 0
	if peer.inFlight < maxInFlight {
		message.Entries, size = g.entriesFrom(peer.next)
	}
	if !peer.probing {
		peer.next += uint64(len(message.Entries))
		peer.inFlight += size
	}
	peer.sentAt = now
	g.send(id, message)
}

// entriesFrom collects entries for one message, and their size.
func (g *Group) entriesFrom(index uint64) (entries []Entry, size int) {
	for _, entry := range g.log[index-1-g.base.Index:] {
		if size > maxAppendBytes {
			break
		}
		entries = append(entries, entry)
		size += entry.size()
	}
	return entries, size
}

// sendProbe asks a replica where it stands with an append that carries nothing.
func (g *Group) sendProbe(id uint64, peer *progress, now int64) {
	peer.inFlight = 0
	peer.next = peer.match + 1
	prevEpoch, known := g.epochAt(peer.match)
	if !known || peer.match == 0 {
		peer.probing = true
		peer.next = g.lastIndex() + 1
		prevEpoch = g.lastEpoch()
	}
	peer.sentAt = now
	g.send(id, Message{Kind: MessageAppend, Epoch: g.view.Epoch, Index: peer.next - 1, PrevEpoch: prevEpoch, Commit: g.commit})
}

// Step takes a message from another replica.
func (g *Group) Step(from uint64, message Message, now int64) {
	g.clock = max(g.clock, now)
	if message.Epoch < g.view.Epoch {
		if message.Kind == MessageAppend || message.Kind == MessageSnapshotChunk || message.Kind == MessageProbe {
			g.send(from, Message{Kind: MessageStaleEpoch, Epoch: g.view.Epoch})
		}
		return
	}
	switch message.Kind {
	case MessageAppend, MessageSnapshotChunk, MessageProbe:
		g.stepAsBackup(from, message, now)
	case MessageStaleEpoch:
		if message.Epoch > g.view.Epoch {
			g.view = View{Epoch: message.Epoch}
			g.stepDown()
		}
	default:
		if g.role == Primary && message.Epoch == g.view.Epoch {
			g.stepAsPrimary(from, message, now)
		}
	}
}

func (g *Group) stepAsBackup(from uint64, message Message, now int64) {
	if from == g.self || (g.role == Primary && message.Epoch == g.view.Epoch) {
		return
	}
	if message.Epoch > g.view.Epoch || g.view.Primary == 0 {
		g.view = View{Epoch: message.Epoch, Primary: from}
		g.alike = 0
		g.stepDown()
		g.contact.primaryProven = now // a majority has just decided for it
	}
	g.primaryHeard = now
	switch message.Kind {
	case MessageSnapshotChunk:
		g.receivePiece(message)
	case MessageProbe:
		g.stepProbe(from, message, now)
	default:
		g.append(from, message)
	}
}

func (g *Group) append(from uint64, message Message) {
	held, known := g.epochAt(message.Index)
	if message.Index < g.base.Index {
		// what stands before the base is committed and therefore alike
		known = g.skipCovered(&message)
		held = message.PrevEpoch
	}
	if !known || held != message.PrevEpoch {
		g.send(from, Message{Kind: MessageLogMismatch, Epoch: g.view.Epoch, Index: min(g.lastIndex(), message.Index)})
		return
	}
	fresh := g.skipHeld(message.Entries)
	if len(fresh) > 0 && g.unwritten > maxUnwritten {
		return // the disk is behind; they come again
	}
	if len(fresh) > 0 {
		g.truncate(fresh[0].Index)
		g.extendLog(fresh...)
		g.writeEntries(fresh)
	}
	g.follow(message, message.Index+uint64(len(message.Entries)))
}

// follow applies what the primary has committed, as far as the logs are known to be alike, and acknowledges.
func (g *Group) follow(message Message, alike uint64) {
	g.alike = max(g.alike, alike)
	if g.incoming != nil && alike >= g.incoming.index {
		g.incoming = nil // the log goes on without it
	}
	if commit := min(message.Commit, alike); commit > g.commit {
		g.commit = commit
		g.applyCommitted()
	}
	g.acknowledgeUpTo(alike)
}

// acknowledgeUpTo answers a message whose entries are all durable already, heartbeats among them.
func (g *Group) acknowledgeUpTo(alike uint64) {
	if g.durable >= alike && alike > 0 {
		g.send(g.view.Primary, Message{Kind: MessageAck, Epoch: g.view.Epoch, Index: alike})
	}
}

// skipCovered drops entries below the base from a message and moves its position there.
func (g *Group) skipCovered(message *Message) bool {
	skip := g.base.Index - message.Index
	if skip > uint64(len(message.Entries)) {
		message.Entries = nil
		return true
	}
	message.Index = g.base.Index
	message.Entries = message.Entries[skip:]
	return true
}

// skipHeld returns the entries from the first one on that is not in the log.
func (g *Group) skipHeld(entries []Entry) []Entry {
	for position, entry := range entries {
		if epoch, known := g.epochAt(entry.Index); !known || epoch != entry.Epoch {
			return entries[position:]
		}
	}
	return nil
}

func (g *Group) truncate(from uint64) {
	if from > g.lastIndex() {
		return
	}
	g.logBytes -= g.bytesBetween(from-1, g.lastIndex())
	g.log = g.log[:from-g.base.Index-1]
	g.durable = min(g.durable, from-1)
}

func (g *Group) stepAsPrimary(from uint64, message Message, now int64) {
	peer := g.peers[from]
	if peer == nil {
		return
	}
	if message.Kind == MessageProbeResponse {
		g.stepProbeAnswer(from, message.Probe, now)
		return
	}
	peer.heardAt = now
	switch message.Kind {
	case MessageAck:
		g.stepAck(from, peer, message.Index, now)
	case MessageLogMismatch:
		g.stepMismatch(from, peer, message.Index, now)
	case MessageChunkAck:
		g.stepPieceReceived(from, peer, message, now)
	}
}

// stepAck takes note of what is durable at a replica and sends on.
func (g *Group) stepAck(id uint64, peer *progress, index uint64, now int64) {
	if index > peer.match {
		peer.inFlight = max(0, peer.inFlight-g.bytesBetween(peer.match, index))
		peer.match = index
		peer.resends = 0
	}
	if peer.transfer != nil && peer.match >= min(peer.transfer.snapshot.index, g.base.Index) {
		g.endTransfer(peer)
		peer.outgrown = 0
		peer.next = peer.match + 1
		peer.inFlight = 0
	}
	if peer.probing {
		peer.probing = false
		peer.next = peer.match + 1
		peer.inFlight = 0
	}
	peer.next = max(peer.next, peer.match+1)
	if peer.next == peer.match+1 {
		peer.inFlight = 0
	}
	if peer.transfer == nil && peer.next <= g.lastIndex() && peer.inFlight < maxInFlight {
		g.sendEntries(id, peer, now)
	}
	g.advanceCommit()
}

// stepMismatch looks for an entry further down that both logs hold.
func (g *Group) stepMismatch(id uint64, peer *progress, index uint64, now int64) {
	if peer.transfer != nil {
		g.restartWhenLost(id, peer, now)
		return
	}
	peer.probing = true
	peer.inFlight = 0
	if index < peer.match {
		// its disk holds less than it acknowledged: what it was counted for has to be written there again
		peer.match = 0
		g.output.Regressed = append(g.output.Regressed, id)
	}
	if peer.next > index+1 {
		peer.next = index + 1
	} else if peer.next > 1 {
		peer.next--
	}
	g.sendEntries(id, peer, now)
}

// Tick sends again what was not acknowledged, and heartbeats: to all where wanted, and always to replicas that are not in sync,
// which could join when they answer. Call it every 50 ms or so.
func (g *Group) Tick(now int64, heartbeats bool) {
	g.clock = max(g.clock, now)
	g.tickContact(now)
	if g.role != Primary {
		return
	}
	for _, id := range g.view.Replicas {
		if peer := g.peers[id]; peer != nil {
			g.tickJoining(id, peer, now)
			g.tickPeer(id, peer, now, heartbeats)
		}
	}
}

func (g *Group) tickPeer(id uint64, peer *progress, now int64, heartbeats bool) {
	unanswered := now - peer.sentAt
	switch {
	case peer.transfer != nil:
		g.tickTransfer(id, peer, now)
	case peer.match < g.lastIndex() || peer.probing:
		if now-peer.heardAt > complainAfter {
			if unanswered > resendAfter {
				g.sendProbe(id, peer, now)
			}
			return
		}
		if unanswered > min(int64(resendAfter)<<min(peer.resends/2, 4), resendLimit) {
			g.resend(id, peer, now)
		}
	case (heartbeats || !g.view.IsInSync(id)) && unanswered >= heartbeatSilence:
		g.sendEntries(id, peer, now)
	}
}

// resend starts again behind what the replica has acknowledged.
func (g *Group) resend(id uint64, peer *progress, now int64) {
	peer.resends++
	peer.inFlight = 0
	peer.next = min(peer.next, max(peer.match+1, 1))
	if peer.match == 0 {
		peer.next = g.lastIndex() + 1
		peer.probing = true
	}
	g.sendEntries(id, peer, now)
}

// Unresponsive lists in-sync replicas from which an answer has been due for too long.
func (g *Group) Unresponsive(now int64) []uint64 {
	var silent []uint64
	if g.role != Primary {
		return nil
	}
	for _, id := range g.view.Replicas {
		peer := g.peers[id]
		if peer == nil || (!g.view.IsInSync(id) && !g.admitting[id]) {
			continue
		}
		if peer.match < g.lastIndex() && now-peer.heardAt > complainAfter {
			silent = append(silent, id)
		}
	}
	return silent
}

// CaughtUp lists replicas that could join the in-sync set: those that hold all that was there when this primary's epoch opened,
// which may have been committed before, and all that was committed since. The primary need not be ready: it may be waiting for
// a replica that will never come back, and another must be able to take that one's place. Replicas that have not been heard in
// the last moment don't count, whatever they held.
func (g *Group) CaughtUp(now int64) []uint64 {
	var ids []uint64
	if g.role != Primary {
		return nil
	}
	for _, id := range g.view.Replicas {
		peer := g.peers[id]
		if peer == nil || g.view.IsInSync(id) {
			continue
		}
		if g.followsClosely(peer, now) && peer.match >= g.commit {
			ids = append(ids, id)
		}
	}
	return ids
}

// Admit has commands wait for a replica from now on, before the in-sync set is asked to take it in: once the set holds it,
// it may become primary at any time and must lack nothing.
func (g *Group) Admit(id uint64) {
	if g.role == Primary && g.matchOf(id) >= g.commit {
		g.admitting[id] = true
	}
}

// Encode is the message's form on the wire.
func (m Message) Encode(e *codec.Encoder) {
	e.Uint8(uint8(m.Kind))
	e.Uint64(m.Epoch)
	e.Uint64(m.Index)
	e.Uint64(m.PrevEpoch)
	e.Uint64(m.Commit)
	e.Uint32(uint32(len(m.Entries)))
	for _, entry := range m.Entries {
		e.Uint64(entry.Index)
		e.Uint64(entry.Epoch)
		e.Blob(entry.Data)
	}
	e.Uint32(m.Offset)
	e.Uint32(m.Total)
	e.Uint32(m.Checksum)
	e.Blob(m.Chunk)
	if m.carriesProbe() {
		m.Probe.encode(e)
	}
}

func (m Message) carriesProbe() bool { return m.Kind == MessageProbe || m.Kind == MessageProbeResponse }

// DecodeMessage reads a message.
func DecodeMessage(d *codec.Decoder) Message {
	m := Message{
		Kind: MessageKind(d.Uint8()), Epoch: d.Uint64(), Index: d.Uint64(), PrevEpoch: d.Uint64(), Commit: d.Uint64(),
	}
	for range d.Count(smallestEntry) {
		m.Entries = append(m.Entries, Entry{Index: d.Uint64(), Epoch: d.Uint64(), Data: d.Blob()})
	}
	m.Offset = d.Uint32()
	m.Total = d.Uint32()
	m.Checksum = d.Uint32()
	m.Chunk = d.Blob()
	if m.carriesProbe() {
		m.Probe = decodeProbe(d)
	}
	return m
}
