package quotastoresim

import (
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
)

// Delays of frames in seconds, and chances.
const (
	minDelay              = 0.0002
	maxDelay              = 0.004
	lateChance            = 0.01
	maxLateDelay          = 0.3
	maxBulkDelay          = 0.2
	failureDelay          = 0.2 // until a server detects that a snapshot was not delivered
	failureDetectedChance = 0.8
)

// link is one direction between two servers, by their numbers.
type link struct{ from, to int }

// network is the state of the links between servers. Each link has one stream at a time, which delivers frames in order, except that
// later frames may overtake a bulk frame. The frames in flight are lost when their stream ends.
type network struct {
	cuts        map[link]int     // number of faults that block the link
	streams     map[link]int     // number of the current stream; frames of earlier ones are lost
	lastArrival map[link]float64 // arrival time of the last frame that is not bulk
}

func newNetwork() network {
	return network{cuts: map[link]int{}, streams: map[link]int{}, lastArrival: map[link]float64{}}
}

// sendMessages sends the pending messages of a server.
func (s *simulation) sendMessages(srv *server) {
	for _, m := range srv.node.TakeMessages() {
		s.sendMessage(srv, m)
	}
}

func (s *simulation) sendMessage(srv *server, m replication.Message) {
	direction := link{srv.number, m.To}
	encoded, err := m.Frame.Encode()
	if err != nil {
		panic(err) // a defect of the protocol, which RunSeed reports
	}
	if s.network.cuts[direction] > 0 {
		s.messageLost(srv, m)
		return
	}
	at := max(s.queue.Now()+s.randomDelay(m.Bulk), s.network.lastArrival[direction])
	if !m.Bulk {
		s.network.lastArrival[direction] = at
	}
	to := s.servers[m.To]
	stream, process := s.network.streams[direction], to.process
	s.queue.Schedule(at, func() {
		if s.network.streams[direction] != stream || s.network.cuts[direction] > 0 || to.process != process {
			s.messageLost(srv, m)
			return
		}
		frame, err := protocol.DecodeFrame(encoded)
		if err != nil {
			panic(err) // a defect of the protocol, which RunSeed reports
		}
		s.execute(to, func() { to.node.Receive(s.clock(to), srv.number, frame) })
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

// messageLost handles the loss of a message. The sender of a bulk message detects the loss after a delay, with a chance of
// failureDetectedChance.
func (s *simulation) messageLost(srv *server, m replication.Message) {
	if !m.Bulk {
		return
	}
	process := srv.process
	if !s.random.Chance(failureDetectedChance) {
		return
	}
	s.queue.ScheduleAfter(failureDelay, func() {
		if srv.process == process {
			s.execute(srv, func() { srv.node.SnapshotFailed(s.clock(srv), m.To) })
		}
	})
}

// cut blocks the link from one server to another for some seconds and ends its stream.
func (s *simulation) cut(from, to *server, seconds float64) {
	if from == to {
		return
	}
	direction := link{from.number, to.number}
	s.network.cuts[direction]++
	s.network.streams[direction]++
	s.queue.ScheduleAfter(seconds, func() {
		if s.network.cuts[direction] > 0 && !s.faultsOver {
			s.network.cuts[direction]--
		}
	})
}
