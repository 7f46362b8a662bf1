package replica

import (
	"slices"
	"sort"
)

const (
	// probeEvery is the time between two probes of a primary, in milliseconds.
	probeEvery = 80
	// tickStalledAfter is how long there may be no tick before a primary probes anew and counts silence from then, in
	// milliseconds: a process that stood still has not asked anybody.
	tickStalledAfter = 300
)

// primaryContact is what a primary can prove of its contact with a majority of the voters.
type primaryContact struct {
	answered    map[uint64]int64     // by replica: when the newest probe that it answered was sent
	probes      map[uint64]Timestamp // by replica: the newest of its probes, to be echoed
	probedAt    int64
	tickedAt    int64
	silentSince int64 // from when on missing answers count
}

func newPrimaryContact(now int64) primaryContact {
	return primaryContact{answered: map[uint64]int64{}, probes: map[uint64]Timestamp{}, tickedAt: now, silentSince: now}
}

// backupContact is what a replica can prove of its contact with the primary in force.
type backupContact struct {
	// confirmedSince is the start of the newest span for which the primary in force confirmed this backup's probe.
	confirmedSince int64
	// primaryConfirmedAt is when a majority last stood behind the primary, as far as is known here.
	primaryConfirmedAt int64
	// lastProbe is the newest probe of the primary that was read.
	lastProbe Timestamp
}

// acceptedVote is the newest record that this process's witness accepted.
type acceptedVote struct {
	epoch   uint64
	primary uint64
}

// RecordVote notes a record that this process's witness has accepted. From then on the replica confirms nothing to the primary
// that the record replaces, nor relies on what that one confirms.
func (g *Group) RecordVote(epoch, primary uint64) {
	if epoch > g.vote.epoch {
		g.vote = acceptedVote{epoch: epoch, primary: primary}
	}
}

// votedForSuccessor tells whether this process has voted for a successor of the primary of its view.
func (g *Group) votedForSuccessor() bool {
	return g.vote.epoch > g.view.Epoch && g.vote.primary != g.view.Primary
}

// ConfirmedSince is a moment at which this replica provably belonged to the primary in force, 0 if there was none: for the
// primary when it sent the newest probe that a majority of the replicas answered; for a backup the start of the newest
// probe of its own that such a primary confirmed.
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

// PrimaryConfirmedAt is when, by this replica's clock, a majority last stood behind the primary that it hears.
func (g *Group) PrimaryConfirmedAt() int64 { return g.backup.contact.primaryConfirmedAt }

// LastProbe is the newest probe of the primary that this backup has read. A message that carries it was written later than
// that, however late it is read.
func (g *Group) LastProbe() Timestamp { return g.backup.contact.lastProbe }

// ProbeSentAt is when this replica sent a probe of its present incarnation; ok is false for any other probe.
func (g *Group) ProbeSentAt(probe Timestamp, now int64) (at int64, ok bool) {
	return probe.At, g.options.Incarnation != 0 && g.isOwn(probe, now)
}

// isOwn tells whether a probe was sent by this process in its present incarnation.
func (g *Group) isOwn(probe Timestamp, now int64) bool {
	return probe.Incarnation == g.options.Incarnation && probe.At <= now
}

// majorityAnswered is when the newest probe was sent that a majority of the voters has answered, this replica included.
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

// tickContact probes all replicas, and steps down when no majority answers for longer than is allowed.
func (g *Group) tickContact(now int64) {
	if g.options.Incarnation == 0 || g.primary == nil {
		return
	}
	contact := &g.primary.contact
	if now-contact.tickedAt > tickStalledAfter {
		contact.silentSince = now
	}
	contact.tickedAt = now
	silence := now - max(contact.silentSince, g.majorityAnswered(now))
	if g.options.StepDownAfter > 0 && silence > g.options.StepDownAfter {
		g.resign()
		return
	}
	if now-contact.probedAt >= probeEvery {
		g.probeAll(now)
	}
}

// resign ends the leadership of a primary that no majority answers. Its epoch has no primary any more.
func (g *Group) resign() {
	g.view = View{Epoch: g.view.Epoch}
	g.backup.contact.confirmedSince = 0
	g.stepDown()
}

// probeAll has a primary probe all replicas of its view.
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
	// what was committed before this epoch opened is known to be committed once its opening entry is
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

// handleProbe takes a primary's probe: it may confirm a probe of this backup, and is itself to be confirmed. A backup that has
// not applied what was committed when the probe was sent is not confirmed: it must not serve reads.
func (g *Group) handleProbe(from uint64, message Message, now int64) {
	if g.options.Incarnation == 0 || (g.votedForSuccessor() && g.vote.primary != from) {
		return
	}
	contact := &g.backup.contact
	probe := message.Probe
	if probe.QuorumAge != noQuorum {
		contact.primaryConfirmedAt = max(contact.primaryConfirmedAt, now-probe.QuorumAge)
		if g.isOwn(probe.Echoed, now) && g.commit.applied >= message.Commit {
			// the primary read the probe after it was sent, and a majority had answered it no longer than the age before
			contact.confirmedSince = max(contact.confirmedSince, probe.Echoed.At-probe.QuorumAge)
		}
	}
	if probe.Sent.supersedes(contact.lastProbe) {
		contact.lastProbe = probe.Sent
	}
	response := Probe{Sent: g.timestamp(now), Echoed: probe.Sent}
	g.send(from, Message{Kind: MessageProbeResponse, Epoch: g.view.Epoch, Probe: response})
}

// handleProbeResponse takes a replica's response to a probe.
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
	if after := g.majorityAnswered(now); after > before && now-before > 2*probeEvery {
		g.probeAll(now) // contact has just been won: backups need not wait for the next round
	}
}

// supersedes tells whether a probe is of another incarnation of the process than an earlier one, or newer.
func (t Timestamp) supersedes(earlier Timestamp) bool {
	return earlier.Incarnation != t.Incarnation || earlier.At < t.At
}
