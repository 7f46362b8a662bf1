package faultsim

import "otterseam/tier/replica"

const (
	messageLossOdds         = 50 // one message in so many is lost
	linkBytesPerMillisecond = 75_000
)

var messageDelays = delays{1, 4}

// send carries a message between replicas.
func (s *simulation) send(from uint64, out replica.Outgoing) {
	if s.oneIn(messageLossOdds) {
		return
	}
	delay := s.draw(messageDelays) + int64(len(out.Message.Chunk)/linkBytesPerMillisecond)
	s.after(delay, func() {
		if to := s.find(out.To); to != nil && to.up && to.group != nil {
			to.group.Step(from, out.Message, s.now())
			to.handleOutput()
		}
	})
}

// ask calls the process at an address. The answer that question returns is carried back and run
// here; nothing is run if no process is there or a message is lost.
func (p *process) ask(address string, question func(other *process) (answer func())) {
	c := p.sim
	c.after(c.draw(messageDelays), func() {
		for _, n := range c.nodes {
			if n.address != address || !n.up || n.removed || c.oneIn(messageLossOdds) {
				continue
			}
			if answer := question(c.processes[n]); answer != nil {
				p.afterIfRunning(c.draw(messageDelays), answer)
			}
		}
	})
}
