package server

import "otterseam/gateway/policy"

var _ policy.Output = (*EventLoop)(nil)

// AddCount adds amount to a count of the counter service that lives for life seconds.
func (l *EventLoop) AddCount(name uint64, amount, life float64) { l.counter.add(name, amount, life) }

// CancelAttempt gives up an attempt that is in progress.
func (l *EventLoop) CancelAttempt(attempt *policy.Attempt) {
	inv := l.invocations[attempt.Invocation]
	if inv != nil && inv.delivery != nil && inv.delivery.attempt == attempt {
		l.hosts.withdraw(inv.delivery, policy.Cancelled)
	}
}

// SendPeer sends a message to the gateway of that number, or to every other one: membership.Broadcast.
func (l *EventLoop) SendPeer(to int, text string) { l.peers.send(to, text) }

// Log logs a line of the policy's.
func (l *EventLoop) Log(text string) { l.log.Info().Msg(text) }
