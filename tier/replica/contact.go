package replica

import (
	"slices"
	"sort"

	"otterseam/tier/codec"
)

// Timestamp names a question by the life of the process that asked it and by its steady clock at that moment. Whoever answers
// returns the stamp, so that the asker counts from when it asked and never from when it happened to read the answer.
type Timestamp struct {
	Incarnation uint64
	At          int64
}

// Probe is what a primary and a backup tell each other to prove their contact.
type Probe struct {
	Sent   Timestamp // of the sender's own question
	Echoed Timestamp // the newest question of the receiver that the sender has read
	// QuorumAge is, in a primary's probe, how long ago it asked the newest question that a majority has answered, in
	// milliseconds, or noContact.
	QuorumAge int64
}

const (
	noContact      = -1
	probeEvery     = 80  // milliseconds
	contactStalled = 300 // milliseconds without a tick, after which a primary asks anew before it counts silence
)

// contact is what a replica can prove of its contact with the primary in force, or as the primary with a majority.
type contact struct {
	life uint64 // of this process; 0 if no contact is kept

	// of a primary
	answered  map[uint64]int64     // by replica: when the newest of the own questions that it answered was asked
	questions map[uint64]Timestamp // by replica: the newest of its questions
	probedAt  int64
	tickedAt  int64
	askedFrom int64 // since when silence counts

	// of a backup
	confirmed     int64     // start of the newest span for which the primary in force confirmed this backup's question
	primaryProven int64     // when a majority stood behind the primary, as far as is known here
	lastQuestion  Timestamp // the newest question of the primary that was read

	voted View // the newest record that this process's witness accepted
}

// beginContact forgets what a primary knew when it begins to lead.
func (g *Group) beginContact(now int64) {
	g.contact.answered = map[uint64]int64{}
	g.contact.questions = map[uint64]Timestamp{}
	g.contact.probedAt = 0
	g.contact.tickedAt = now
	g.contact.askedFrom = now
	g.probeAll(now)
}

// RecordVote notes a record that this process's witness has accepted. From then on the replica confirms nothing to the primary
// that the record replaces, nor relies on what that one confirms.
func (g *Group) RecordVote(epoch, primary uint64) {
	if epoch > g.contact.voted.Epoch {
		g.contact.voted = View{Epoch: epoch, Primary: primary}
	}
}

// replaced tells whether this process has voted for a successor of the primary of its view.
func (g *Group) replaced() bool {
	return g.contact.voted.Epoch > g.view.Epoch && g.contact.voted.Primary != g.view.Primary
}

// ConfirmedSince is a moment at which this replica provably belonged to the primary in force, 0 if there was none: for the
// primary when it asked the newest question that a majority of the replicas answered; for a backup the start of the newest
// question of its own that such a primary confirmed.
func (g *Group) ConfirmedSince(now int64) int64 {
	if g.replaced() {
		return 0
	}
	if g.role == Primary {
		return g.majorityAnswered(now)
	}
	if g.view.Primary == 0 {
		return 0
	}
	return g.contact.confirmed
}

// PrimaryConfirmedAt is when, by this replica's clock, a majority last stood behind the primary that it hears.
func (g *Group) PrimaryConfirmedAt() int64 { return g.contact.primaryProven }

// LastProbe is the newest question of the primary that this backup has read. A message that carries it was written later than
// that, however late it is read.
func (g *Group) LastProbe() Timestamp { return g.contact.lastQuestion }

// ProbeSentAt is when this replica asked a question of its present life; ok is false for any other question.
func (g *Group) ProbeSentAt(question Timestamp, now int64) (at int64, ok bool) {
	return question.At, g.contact.life != 0 && question.Incarnation == g.contact.life && question.At <= now
}

// majorityAnswered is when the newest question was asked that a majority of the voters has answered, this replica included.
func (g *Group) majorityAnswered(now int64) int64 {
	voters := g.view.Voters()
	asked := make([]int64, 0, len(voters))
	for _, id := range voters {
		if id == g.self {
			asked = append(asked, now)
		} else {
			asked = append(asked, g.contact.answered[id])
		}
	}
	if len(asked) == 0 {
		return 0
	}
	sort.Slice(asked, func(i, j int) bool { return asked[i] > asked[j] })
	return asked[len(asked)/2]
}

// tickContact asks all replicas, and gives up the lead when no majority answers for longer than is allowed.
func (g *Group) tickContact(now int64) {
	c := &g.contact
	if c.life == 0 || g.role != Primary {
		return
	}
	if now-c.tickedAt > contactStalled {
		c.askedFrom = now
	}
	c.tickedAt = now
	if silence := now - max(c.askedFrom, g.majorityAnswered(now)); g.stepDownAfter > 0 && silence > g.stepDownAfter {
		g.resign()
		return
	}
	if now-c.probedAt >= probeEvery {
		g.probeAll(now)
	}
}

// resign ends the lead of a primary that no majority answers. Its epoch has no primary any more.
func (g *Group) resign() {
	g.view = View{Epoch: g.view.Epoch}
	g.contact.confirmed = 0
	g.stepDown()
}

func (g *Group) probeAll(now int64) {
	if g.contact.life == 0 {
		return
	}
	g.contact.probedAt = now
	age := int64(noContact)
	if since := g.ConfirmedSince(now); since > 0 {
		age = now - since
	}
	// what was committed before this epoch opened is known to be committed once its opening entry is
	committed := max(g.commit, g.openedEpochAt)
	for _, id := range g.view.Replicas {
		if id == g.self {
			continue
		}
		probe := Probe{Sent: Timestamp{g.contact.life, now}, Echoed: g.contact.questions[id], QuorumAge: age}
		g.send(id, Message{Kind: MessageProbe, Epoch: g.view.Epoch, Commit: committed, Probe: probe})
	}
}

// stepProbe takes a primary's probe: it may confirm a question of this backup, and is itself to be confirmed. A backup that has
// not applied what was committed when the probe was sent is not confirmed: it must not serve its copy.
func (g *Group) stepProbe(from uint64, message Message, now int64) {
	c := &g.contact
	probe := message.Probe
	if c.life == 0 || (g.replaced() && c.voted.Primary != from) {
		return
	}
	if probe.QuorumAge != noContact {
		c.primaryProven = max(c.primaryProven, now-probe.QuorumAge)
		if probe.Echoed.Incarnation == c.life && probe.Echoed.At <= now && g.applied >= message.Commit {
			// the primary read the question after it was asked, and a majority had answered it no longer than the age before
			c.confirmed = max(c.confirmed, probe.Echoed.At-probe.QuorumAge)
		}
	}
	if c.lastQuestion.Incarnation != probe.Sent.Incarnation || c.lastQuestion.At < probe.Sent.At {
		c.lastQuestion = probe.Sent
	}
	answer := Probe{Sent: Timestamp{c.life, now}, Echoed: probe.Sent}
	g.send(from, Message{Kind: MessageProbeResponse, Epoch: g.view.Epoch, Probe: answer})
}

// stepProbeAnswer takes a replica's answer to a probe.
func (g *Group) stepProbeAnswer(from uint64, probe Probe, now int64) {
	c := &g.contact
	if c.life == 0 || !slices.Contains(g.view.Replicas, from) {
		return
	}
	if held := c.questions[from]; held.Incarnation != probe.Sent.Incarnation || held.At < probe.Sent.At {
		c.questions[from] = probe.Sent
	}
	if probe.Echoed.Incarnation != c.life || probe.Echoed.At > now {
		return
	}
	before := g.majorityAnswered(now)
	c.answered[from] = max(c.answered[from], probe.Echoed.At)
	if after := g.majorityAnswered(now); after > before && now-before > 2*probeEvery {
		g.probeAll(now) // contact has just been won: backups need not wait for the next round
	}
}

// Encode appends a stamp to a message.
func (s Timestamp) Encode(e *codec.Encoder) {
	e.Uint64(s.Incarnation)
	e.Int64(s.At)
}

// DecodeTimestamp reads a stamp from a message.
func DecodeTimestamp(d *codec.Decoder) Timestamp {
	return Timestamp{Incarnation: d.Uint64(), At: d.Int64()}
}

func (p Probe) encode(e *codec.Encoder) {
	p.Sent.Encode(e)
	p.Echoed.Encode(e)
	e.Int64(p.QuorumAge)
}

func decodeProbe(d *codec.Decoder) Probe {
	return Probe{Sent: DecodeTimestamp(d), Echoed: DecodeTimestamp(d), QuorumAge: d.Int64()}
}
