package replica

import (
	"testing"

	"otterseam/internal/digesttest"
)

func digestView(d *digesttest.Digest, view View) {
	d.Uint(view.Epoch, view.Primary, uint64(view.MinInSync), uint64(len(view.Replicas)))
	d.Uint(view.Replicas...)
	d.Uint(uint64(len(view.InSync)))
	d.Uint(view.InSync...)
}

func digestGroup(d *digesttest.Digest, group *Group) {
	digestView(d, group.View())
	d.Bool(group.IsPrimary(), group.IsReady())
	d.Uint(group.AppliedIndex(), group.LastIndex())
}

// Records each step of the group simulation and the commands that its replicas applied.
func TestGroupDigests(t *testing.T) {
	digesttest.Check(t, "group", func(t *testing.T, seed int64, d *digesttest.Digest) {
		s := newSim(t, seed)
		for range simSteps {
			s.step(true)
			d.Int(s.now, int64(len(s.network)), int64(s.lastCommand), int64(len(s.acknowledged)))
			digestView(d, s.view)
			for _, node := range s.nodes {
				d.Bool(node.up)
				d.Uint(node.id, node.incarnation, node.viewEpoch)
				d.Int(int64(node.frozen), int64(len(node.writes)), int64(len(node.pending)))
				digestGroup(d, node.group)
			}
		}
		s.healAndWait()
		s.verify()
		for _, node := range s.nodes {
			d.Int(s.now, int64(len(node.machine.applied)))
			d.Text(node.machine.applied...)
		}
	})
}

// Records periodic samples of the catch-up simulation and the changes that its replicas applied.
func TestCatchUpDigests(t *testing.T) {
	const sampleInterval = 5 * millisecond
	digesttest.Check(t, "catchup", func(t *testing.T, seed int64, d *digesttest.Digest) {
		s := newCatchupSim(t, seed)
		var sample func()
		sample = func() {
			s.schedule(sampleInterval, sample)
			d.Int(s.now, int64(s.lastChange), int64(len(s.acknowledged)), s.maxQueuedBytes, s.maxQueuedChunkBytes, int64(s.maxLogBytes))
			digestView(d, s.view)
			for _, node := range s.nodes {
				d.Bool(node.up, node.ready)
				d.Uint(node.id, node.incarnation, node.viewEpoch)
				d.Int(int64(len(node.queued)), int64(len(node.syncing)))
				digestGroup(d, node.group)
			}
			for from := range s.links {
				for to := range s.links[from] {
					link := &s.links[from][to]
					d.Int(link.freeAt, int64(link.connectionID), link.queuedChunkBytes)
				}
			}
		}
		s.schedule(0, sample)
		took, bound := s.run()
		d.Int(took, bound)
		for _, node := range s.nodes {
			for _, number := range node.machine.applied {
				d.Uint(uint64(number))
			}
		}
	})
}
