package replica

import (
	"slices"
	"sort"
)

const (
	// probeInterval is the time between two probes of a primary, in milliseconds.
	probeInterval = 80
	// tickStalledAfter is the time between two ticks, in milliseconds, after which a primary counts missing responses only from
	// the later tick on: a process that was suspended has sent no probes meanwhile.
	tickStalledAfter = 300
)

// primaryContact tracks a primary's contact with the other replicas.
type primaryContact struct {
	answered          map[uint64]int64     // by replica: when the newest probe that it responded to was sent
	probes            map[uint64]Timestamp // by replica: its newest probe, to be echoed
	probedAt          int64
	tickedAt          int64
	silenceCountsFrom int64 // time from which missing responses count
}

func newPrimaryContact(now int64) primaryContact {
	return primaryContact{answered: map[uint64]int64{}, probes: map[uint64]Timestamp{}, tickedAt: now, silenceCountsFrom: now}
}

// backupContact tracks a backup's contact with the current primary.
type backupContact struct {
	// confirmedSince is when this backup sent its newest probe that the current primary confirmed, less the age of the primary's
	// contact with a majority.
	confirmedSince int64
	// primaryConfirmedAt is the newest time at which, as far as this backup knows, a majority confirmed the primary.
	primaryConfirmedAt int64
	// lastProbe is the newest probe of the primary that was read.
	lastProbe Timestamp
}

// acceptedVote identifies the newest record that this process's acceptor has accepted.
type acceptedVote struct {
	epoch   uint64
	primary uint64
}

// RecordVote records that this process's acceptor has accepted a record. From then on the replica no longer confirms the primary
// that the record replaces, and ignores confirmations from it.
func (g *Group) RecordVote(epoch, primary uint64) {
	if epoch > g.vote.epoch {
		g.vote = acceptedVote{epoch: epoch, primary: primary}
	}
}

// votedForSuccessor reports whether this process has voted for a successor of the primary of its view.
func (g *Group) votedForSuccessor() bool {
	return g.vote.epoch > g.view.Epoch && g.vote.primary != g.view.Primary
}

// ConfirmedSince returns the newest time at which this replica provably belonged to the current primary's group, or 0 if there is
// none. For the primary, it is when it sent the newest probe to which a majority of the voters responded. For a backup, it is when
// it sent the newest probe of its own that such a primary confirmed, less the age of that primary's contact with the majority.
func (g *Group) ConfirmedSince(now int64) int64 {
	if g.votedForSuccessor() {
		return 0
	}
	if g.primary != nil {
		return g.majorityAnswered(now)
	}
	if g.view.Primary == 0 {
		return 0
	}
	return g.backup.contact.confirmedSince
}

// PrimaryConfirmedAt returns the newest time, by this replica's clock, at which a majority confirmed the primary that it follows.
func (g *Group) PrimaryConfirmedAt() int64 { return g.backup.contact.primaryConfirmedAt }

// LastProbe returns the newest probe that this backup has read from the primary. A message that carries this timestamp was written
// after the probe was sent, however late the message is read.
func (g *Group) LastProbe() Timestamp { return g.backup.contact.lastProbe }

// ProbeSentAt returns when this replica sent a probe in its current incarnation. ok is false for any other probe.
func (g *Group) ProbeSentAt(probe Timestamp, now int64) (at int64, ok bool) {
	return probe.At, g.options.Incarnation != 0 && g.isOwn(probe, now)
}

// isOwn reports whether a probe was sent by this process in its current incarnation.
func (g *Group) isOwn(probe Timestamp, now int64) bool {
	return probe.Incarnation == g.options.Incarnation && probe.At <= now
}

// majorityAnswered returns when the newest probe was sent to which a majority of the voters, including this replica, has responded.
func (g *Group) majorityAnswered(now int64) int64 {
	voters := g.view.Voters()
	answered := make([]int64, 0, len(voters))
	for _, id := range voters {
		if id == g.self {
			answered = append(answered, now)
		} else {
			answered = append(answered, g.primary.contact.answered[id])
		}
	}
	if len(answered) == 0 {
		return 0
	}
	sort.Slice(answered, func(i, j int) bool { return answered[i] > answered[j] })
	return answered[len(answered)/2]
}

// tickContact probes all replicas at each probe interval, and resigns if no majority has responded for StepDownAfter.
func (g *Group) tickContact(now int64) {
	if g.options.Incarnation == 0 || g.primary == nil {
		return
	}
	contact := &g.primary.contact
	if now-contact.tickedAt > tickStalledAfter {
		contact.silenceCountsFrom = now
	}
	contact.tickedAt = now
	silence := now - max(contact.silenceCountsFrom, g.majorityAnswered(now))
	if g.options.StepDownAfter > 0 && silence > g.options.StepDownAfter {
		g.resign()
		return
	}
	if now-contact.probedAt >= probeInterval {
		g.probeAll(now)
	}
}

// resign ends the leadership of a primary to which no majority responds. Its epoch then has no primary.
func (g *Group) resign() {
	g.view = View{Epoch: g.view.Epoch}
	g.backup.contact.confirmedSince = 0
	g.stepDown()
}

// probeAll sends a probe from the primary to all other replicas of its view.
func (g *Group) probeAll(now int64) {
	if g.options.Incarnation == 0 {
		return
	}
	contact := &g.primary.contact
	contact.probedAt = now
	age := int64(noQuorum)
	if since := g.ConfirmedSince(now); since > 0 {
		age = now - since
	}
	// Entries committed in earlier epochs are known to be committed only once the entry that opened this epoch is.
	committed := max(g.commit.committed, g.epochStart)
	for _, id := range g.view.Replicas {
		if id == g.self {
			continue
		}
		probe := Probe{Sent: g.timestamp(now), Echoed: contact.probes[id], QuorumAge: age}
		g.send(id, Message{Kind: MessageProbe, Epoch: g.view.Epoch, Commit: committed, Probe: probe})
	}
}

func (g *Group) timestamp(now int64) Timestamp {
	return Timestamp{Incarnation: g.options.Incarnation, At: now}
}

// handleProbe handles a primary's probe. The probe may confirm a probe of this backup, and the response confirms the primary. A
// backup that has not applied all entries committed when the probe was sent is not confirmed, because it must not serve reads.
func (g *Group) handleProbe(from uint64, message Message, now int64) {
	if g.options.Incarnation == 0 || (g.votedForSuccessor() && g.vote.primary != from) {
		return
	}
	contact := &g.backup.contact
	probe := message.Probe
	if probe.QuorumAge != noQuorum {
		contact.primaryConfirmedAt = max(contact.primaryConfirmedAt, now-probe.QuorumAge)
		if g.isOwn(probe.Echoed, now) && g.commit.applied >= message.Commit {
			// The primary sent this probe after it read the echoed one. Its contact with a majority was QuorumAge old then, so it
			// had that contact no earlier than QuorumAge before the echoed probe was sent.
			contact.confirmedSince = max(contact.confirmedSince, probe.Echoed.At-probe.QuorumAge)
		}
	}
	if probe.Sent.supersedes(contact.lastProbe) {
		contact.lastProbe = probe.Sent
	}
	response := Probe{Sent: g.timestamp(now), Echoed: probe.Sent}
	g.send(from, Message{Kind: MessageProbeResponse, Epoch: g.view.Epoch, Probe: response})
}

// handleProbeResponse handles a replica's response to a probe.
func (g *Group) handleProbeResponse(from uint64, response Probe, now int64) {
	if g.options.Incarnation == 0 || !slices.Contains(g.view.Replicas, from) {
		return
	}
	contact := &g.primary.contact
	if response.Sent.supersedes(contact.probes[from]) {
		contact.probes[from] = response.Sent
	}
	if !g.isOwn(response.Echoed, now) {
		return
	}
	before := g.majorityAnswered(now)
	contact.answered[from] = max(contact.answered[from], response.Echoed.At)
	if after := g.majorityAnswered(now); after > before && now-before > 2*probeInterval {
		g.probeAll(now) // a majority has just responded again: confirm the backups without waiting for the next probe interval
	}
}

// supersedes reports whether a timestamp is newer than an earlier one or of another incarnation of the process.
func (t Timestamp) supersedes(earlier Timestamp) bool {
	return earlier.Incarnation != t.Incarnation || earlier.At < t.At
}
