package quotastoresim

import (
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
)

// How long frames take, in seconds, and how often they take longer.
const (
	minDelay       = 0.0002
	maxDelay       = 0.004
	lateChance     = 0.01
	maxLateDelay   = 0.3
	maxBulkDelay   = 0.2
	failureDelay   = 0.2 // until a server finds out that a snapshot has not got there
	failureNoticed = 0.8 // chance that it does
)

// link is one way between two servers, by their numbers.
type link struct{ from, to int }

// network is what is between servers: a stream on each link, which keeps the order of its frames and loses those in flight when it
// ends.
type network struct {
	cuts        map[link]int     // how many faults let nothing through
	streams     map[link]int     // number of the stream; frames of one before are lost
	lastArrival map[link]float64 // of a frame that is not bulk
}

func newNetwork() network {
	return network{cuts: map[link]int{}, streams: map[link]int{}, lastArrival: map[link]float64{}}
}

// sendMessages sends what a server has to say.
func (s *simulation) sendMessages(x *server) {
	for _, m := range x.node.TakeMessages() {
		s.sendMessage(x, m)
	}
}

func (s *simulation) sendMessage(x *server, m replication.Message) {
	way := link{x.number, m.To}
	encoded, err := m.Frame.Encode()
	if err != nil {
		panic(err) // a fault of the protocol: RunSeed reports it
	}
	if s.network.cuts[way] > 0 {
		s.messageLost(x, m)
		return
	}
	at := max(s.queue.Now()+s.randomDelay(m.Bulk), s.network.lastArrival[way])
	if !m.Bulk {
		s.network.lastArrival[way] = at
	}
	to := s.servers[m.To]
	stream, process := s.network.streams[way], to.process
	s.queue.Schedule(at, func() {
		if s.network.streams[way] != stream || s.network.cuts[way] > 0 || to.process != process {
			s.messageLost(x, m)
			return
		}
		frame, err := protocol.DecodeFrame(encoded)
		if err != nil {
			panic(err) // a fault of the protocol: RunSeed reports it
		}
		s.execute(to, func() { to.node.Receive(s.clock(to), x.number, frame) })
	})
}

func (s *simulation) randomDelay(bulk bool) float64 {
	delay := s.random.Uniform(minDelay, maxDelay)
	if s.random.Chance(lateChance) {
		delay += s.random.Uniform(0, maxLateDelay)
	}
	if bulk {
		delay += s.random.Uniform(0, maxBulkDelay)
	}
	return delay
}

// messageLost has a server find out, as a rule, that a bulk message has not got there.
func (s *simulation) messageLost(x *server, m replication.Message) {
	if !m.Bulk {
		return
	}
	process := x.process
	if !s.random.Chance(failureNoticed) {
		return
	}
	s.queue.ScheduleAfter(failureDelay, func() {
		if x.process == process {
			s.execute(x, func() { x.node.SnapshotFailed(s.clock(x), m.To) })
		}
	})
}

// cut lets nothing through on the way from one server to another, for so many seconds.
func (s *simulation) cut(from, to *server, seconds float64) {
	if from == to {
		return
	}
	way := link{from.number, to.number}
	s.network.cuts[way]++
	s.network.streams[way]++
	s.queue.ScheduleAfter(seconds, func() {
		if s.network.cuts[way] > 0 && !s.faultsOver {
			s.network.cuts[way]--
		}
	})
}
