package control

import (
	"container/heap"
	"slices"
	"testing"

	"otterseam/internal/digesttest"
)

// digestMember adds where a member stands.
func digestMember(d *digesttest.Digest, m *simMember) {
	view := m.group.View()
	d.Bool(m.frozen, m.busy, m.group.IsPrimary(), m.group.IsReady())
	d.Uint(view.Epoch, view.Primary, m.known.Epoch, m.group.AppliedIndex(), m.group.LastIndex(), m.machine.version(), m.refusals)
}

// The events of the simulation, where each member stands after each of them, and what the callers hold in the end.
func TestStandingDigests(t *testing.T) {
	digesttest.Check(t, "control", func(t *testing.T, seed int64, d *digesttest.Digest) {
		s := newSimNetwork(t, seed)
		s.plan()
		s.every(200, func() {
			s.judgeLists()
			s.judgeOrders()
		})
		for len(s.queue) > 0 && s.queue[0].at <= simLength {
			next := heap.Pop(&s.queue).(simEvent)
			s.now = next.at
			next.run()
			d.Int(next.at, int64(next.order), int64(len(s.queue)), int64(len(s.held)))
			for _, m := range s.members {
				digestMember(d, m)
			}
		}
		s.now = simLength
		s.judgeEnd()
		digestEnd(d, s)
	})
}

func digestEnd(d *digesttest.Digest, s *simNetwork) {
	for _, m := range s.members {
		d.Bytes(m.machine.Snapshot())
		d.Bytes(m.witness.Encode())
	}
	for _, h := range s.hosts {
		d.Int(h.ackedAt, int64(h.target))
	}
	for _, f := range s.follow {
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
