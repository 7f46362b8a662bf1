package server

import "otterseam/gateway/policy"

var _ policy.Output = (*EventLoop)(nil)

// AddCount adds amount to a count of the counter service that expires after life seconds.
func (l *EventLoop) AddCount(name uint64, amount, life float64) { l.counter.add(name, amount, life) }

// CancelAttempt cancels an attempt that is in progress.
func (l *EventLoop) CancelAttempt(attempt *policy.Attempt) {
	inv := l.invocations[attempt.Invocation]
	if inv != nil && inv.delivery != nil && inv.delivery.attempt == attempt {
		l.hosts.cancel(inv.delivery, policy.Cancelled)
	}
}

// SendPeer sends a message to the gateway with that number, or to all others if to is membership.Broadcast.
func (l *EventLoop) SendPeer(to int, text string) { l.peers.send(to, text) }

// Log writes a line of the policy to the log.
func (l *EventLoop) Log(text string) { l.log.Info().Msg(text) }
