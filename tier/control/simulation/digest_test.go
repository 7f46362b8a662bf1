package simulation

import (
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"testing"

	"otterseam/internal/digesttest"
)

// eventDigest is a hash of the times and sequence numbers of all events of a simulation. Any different decision schedules other events or
// draws other random numbers, and therefore changes the digest.
type eventDigest struct{ sum uint64 }

func (d *eventDigest) add(event event) {
	hash := fnv.New64a()
	for _, number := range []uint64{d.sum, uint64(event.at), uint64(event.sequence)} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, number))
	}
	d.sum = hash.Sum64()
}

// digestSeeds is the number of seeds of each simulation that are compared with their recorded digest.
const digestSeeds = 10

// The digests were recorded with the code of commit f810951, before the package was split.
var (
	faultDigests = [digestSeeds]uint64{
		0xafd9dd509888d692, 0x370071d45aa755ea, 0xd8bbc16cd5bb6966, 0x6b92b3ee63e4d2a1, 0x25710a0a0c1d9056,
		0xb46d04a1715e3d95, 0x7164d1facf4a17ea, 0x13563b1bb0cfc151, 0x9bd04bd6a213bfec, 0xd188004e98ed2fc0,
	}
	historyDigests = [digestSeeds]uint64{
		0x0c8facf765b0bc9f, 0xf5f2081c1833049b, 0x7cf9043c48c74897, 0x133306eb7bf5744d, 0x5a6c20431337667e,
		0x6845b557bba5e109, 0x1527f3c4a6c332fe, 0x5d938173ba58798b, 0x7f593b7c0eb677ee, 0xa74279f74061c356,
	}
)

func TestSimulationsReplayRecordedEvents(t *testing.T) {
	for seed := range int64(digestSeeds) {
		s := newNetwork(t, seed)
		s.planFaults()
		s.play(runLength)
		if s.digest.sum != faultDigests[seed] {
			t.Errorf("faults, seed %d: digest %#016x, not %#016x", seed, s.digest.sum, faultDigests[seed])
		}
		l := newMembersOnly(t, seed)
		l.addConfigOperators(&callHistory{})
		l.planHistoryFaults(noFault)
		l.play(historyRunLength)
		if l.digest.sum != historyDigests[seed] {
			t.Errorf("linearizability, seed %d: digest %#016x, not %#016x", seed, l.digest.sum, historyDigests[seed])
		}
	}
}

// digestMember adds the state of a member.
func digestMember(d *digesttest.Digest, m *member) {
	view := m.group.View()
	d.Bool(m.frozen, m.proposing, m.group.IsPrimary(), m.group.IsReady())
	d.Uint(view.Epoch, view.Primary, m.known.Epoch, m.group.AppliedIndex(), m.group.LastIndex(), m.machine.version(), m.rejectedHeartbeats)
}

// The digests cover the events, the state of each member after each event, and the final state of members and callers.
func TestMemberStateDigests(t *testing.T) {
	digesttest.Check(t, "control", func(t *testing.T, seed int64, d *digesttest.Digest) {
		s := newNetwork(t, seed)
		s.planFaults()
		s.every(200, func() {
			s.checkHostRegistrations()
			s.checkProgress()
		})
		for len(s.queue) > 0 && s.queue[0].at <= runLength {
			next := heap.Pop(&s.queue).(event)
			s.now = next.at
			next.run()
			d.Int(next.at, int64(next.sequence), int64(len(s.queue)), int64(len(s.heldMessages)))
			for _, m := range s.members {
				digestMember(d, m)
			}
		}
		s.now = runLength
		s.checkFinalState()
		digestFinalState(d, s)
	})
}

func digestFinalState(d *digesttest.Digest, s *sim) {
	for _, m := range s.members {
		d.Bytes(m.machine.Snapshot())
		d.Bytes(m.acceptor.Encode())
	}
	for _, h := range s.hosts {
		d.Int(h.ackedAt, int64(h.target))
	}
	for _, f := range s.subscribers {
		d.Int(int64(f.version), f.receivedAt, int64(f.session))
	}
	var versions []uint64
	for version := range s.operator.confirmed {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	for _, version := range versions {
		d.Int(int64(version), s.operator.confirmed[version])
	}
}
