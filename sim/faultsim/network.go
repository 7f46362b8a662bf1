package faultsim

import "otterseam/tier/replica"

const (
	messageLossOdds         = 50 // one in this many messages is lost
	linkBytesPerMillisecond = 75_000
)

var messageDelays = delays{1, 4}

// send delivers a message between replicas after a delay, unless the message is lost.
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

// call sends a request to the process at an address, where handle runs. The function that handle returns is run once the response
// has arrived, if the calling process still runs. Neither is run if no process runs at the address or the request is lost.
func (p *process) call(address string, handle func(other *process) (onResponse func())) {
	c := p.sim
	c.after(c.draw(messageDelays), func() {
		for _, n := range c.nodes {
			if n.address != address || !n.up || n.removed || c.oneIn(messageLossOdds) {
				continue
			}
			if onResponse := handle(c.processes[n]); onResponse != nil {
				p.afterIfRunning(c.draw(messageDelays), onResponse)
			}
		}
	})
}
