package simulation

import (
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"testing"

	"otterseam/internal/digesttest"
)

// eventDigest sums up the events of a simulation: their times and the order in which they were planned. A decision that differs
// anywhere plans other events or draws other random numbers.
type eventDigest struct{ sum uint64 }

func (d *eventDigest) add(event event) {
	hash := fnv.New64a()
	for _, number := range []uint64{d.sum, uint64(event.at), uint64(event.order)} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, number))
	}
	d.sum = hash.Sum64()
}

// digestSeeds is how many seeds of each simulation are held to their recorded digest.
const digestSeeds = 10

// The digests were taken from the code of commit f810951, before the package was split.
var (
	faultDigests = [digestSeeds]uint64{
		0xafd9dd509888d692, 0x370071d45aa755ea, 0xd8bbc16cd5bb6966, 0x6b92b3ee63e4d2a1, 0x25710a0a0c1d9056,
		0xb46d04a1715e3d95, 0x7164d1facf4a17ea, 0x13563b1bb0cfc151, 0x9bd04bd6a213bfec, 0xd188004e98ed2fc0,
	}
	linearDigests = [digestSeeds]uint64{
		0x0c8facf765b0bc9f, 0xf5f2081c1833049b, 0x7cf9043c48c74897, 0x133306eb7bf5744d, 0x5a6c20431337667e,
		0x6845b557bba5e109, 0x1527f3c4a6c332fe, 0x5d938173ba58798b, 0x7f593b7c0eb677ee, 0xa74279f74061c356,
	}
)

func TestSimulationsPlayTheRecordedEvents(t *testing.T) {
	for seed := range int64(digestSeeds) {
		s := newNetwork(t, seed)
		s.plan()
		s.play(runLength)
		if s.digest.sum != faultDigests[seed] {
			t.Errorf("faults, seed %d: digest %#016x, not %#016x", seed, s.digest.sum, faultDigests[seed])
		}
		l := newMembers(t, seed)
		l.addLinearOperators(&linearHistory{})
		l.planOrderFaults(noLinearFault)
		l.play(linearLength)
		if l.digest.sum != linearDigests[seed] {
			t.Errorf("orders, seed %d: digest %#016x, not %#016x", seed, l.digest.sum, linearDigests[seed])
		}
	}
}

// digestMember adds where a member stands.
func digestMember(d *digesttest.Digest, m *member) {
	view := m.group.View()
	d.Bool(m.frozen, m.busy, m.group.IsPrimary(), m.group.IsReady())
	d.Uint(view.Epoch, view.Primary, m.known.Epoch, m.group.AppliedIndex(), m.group.LastIndex(), m.machine.version(), m.refusals)
}

// The events of the simulation, where each member stands after each of them, and what the callers hold in the end.
func TestStandingDigests(t *testing.T) {
	digesttest.Check(t, "control", func(t *testing.T, seed int64, d *digesttest.Digest) {
		s := newNetwork(t, seed)
		s.plan()
		s.every(200, func() {
			s.checkLists()
			s.checkOrders()
		})
		for len(s.queue) > 0 && s.queue[0].at <= runLength {
			next := heap.Pop(&s.queue).(event)
			s.now = next.at
			next.run()
			d.Int(next.at, int64(next.order), int64(len(s.queue)), int64(len(s.held)))
			for _, m := range s.members {
				digestMember(d, m)
			}
		}
		s.now = runLength
		s.checkEnd()
		digestEnd(d, s)
	})
}

func digestEnd(d *digesttest.Digest, s *network) {
	for _, m := range s.members {
		d.Bytes(m.machine.Snapshot())
		d.Bytes(m.witness.Encode())
	}
	for _, h := range s.hosts {
		d.Int(h.ackedAt, int64(h.target))
	}
	for _, f := range s.subscribers {
		d.Int(int64(f.version), f.heardAt, int64(f.session))
	}
	var versions []uint64
	for version := range s.operator.acked {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	for _, version := range versions {
		d.Int(int64(version), s.operator.acked[version])
	}
}
