package proxy

import (
	"context"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/programs"
)

const (
	// retainTimeout is the maximum time for which the end of a stream waits until its turn is durable.
	retainTimeout = 3 * time.Second
	// backgroundSettleTimeout is the time limit for settling a turn for which no client waits.
	backgroundSettleTimeout = 20 * time.Second
	// millisecondsPerSecond converts the retention times of the configuration.
	millisecondsPerSecond = 1000
)

// completeCommand returns the command that settles a turn whose client received the complete response. On a route that retains its
// turns, the command also contains the texts of the turn. Otherwise it omits them, because each command is sent to every replica. It may
// be executed until the deadline.
func (t *turn) completeCommand(received uint64, output []byte, host string, deadline time.Time) programs.End {
	end := t.abortCommand(received, host)
	if t.route.Retained {
		end.Retain = true
		end.RetentionMS = int64(t.route.RetentionS * millisecondsPerSecond)
		end.Previous, end.Input = t.retainedInput(deadline)
		end.Output = output
	}
	return end
}

// retainedInput returns the turn that a retained turn is stored as the continuation of, and the input to store. If the stores may delete
// turns of its chain before the deadline, the turn is stored with their texts and continues none.
func (t *turn) retainedInput(deadline time.Time) (previous string, input []byte) {
	if t.previous != "" && deadline.After(t.chainExpiresAt) {
		return "", t.prompt
	}
	return t.previous, t.body
}

// abortCommand returns the command that settles an incomplete turn, of which the client received the given number of tokens. host is
// the last host that streamed the response, or empty.
func (t *turn) abortCommand(received uint64, host string) programs.End {
	return programs.End{
		Request: t.id, Program: t.program, Session: t.session, Actual: received, Host: host, Ticket: t.ticket,
	}
}

// settle sends the end command of a turn to the stores and waits for the result, at most until the deadline.
func (p *Proxy) settle(ctx context.Context, t *turn, end programs.End, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	_, err := p.programs.call(ctx, t.program, end.Encode())
	return err
}

// settleInBackground settles a turn for which no client waits, even after the request has ended. The shutdown waits for it.
func (p *Proxy) settleInBackground(t *turn, end programs.End) {
	if !t.isAccounted() {
		return
	}
	p.settlements.Add(1)
	go func() {
		defer p.settlements.Done()
		if err := p.settle(p.settlementContext, t, end, time.Now().Add(backgroundSettleTimeout)); err != nil {
			p.log.WithField("code", uint16(codes.StoreUnreachable)).WithField("program", t.program).
				Warn("failed to settle a turn; its estimate stays charged")
		}
	}()
}
