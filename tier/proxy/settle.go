package proxy

import (
	"context"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/programs"
)

const (
	// endTimeout is how long the end of a stream waits at most until its turn is durable.
	endTimeout = 3 * time.Second
	// backgroundEndTimeout is the same where no client waits.
	backgroundEndTimeout = 20 * time.Second
	// millisecondsPerSecond converts the operator's retention times.
	millisecondsPerSecond = 1000
)

// completeCommand settles a turn whose client received it complete, and keeps it on a route that retains its turns. The stores need
// the texts of a turn only to keep them: without them a command is a few numbers on its way to every replica.
func (t *turn) completeCommand(received uint64, output []byte, host string) programs.End {
	end := t.abortCommand(received, host)
	if t.route.Retained {
		end.Retain = true
		end.RetentionMS = int64(t.route.RetentionS * millisecondsPerSecond)
		end.Previous = t.previous
		end.Input = t.body
		end.Output = output
	}
	return end
}

// abortCommand settles a turn whose client received no more than a part of it: some tokens, from a host.
func (t *turn) abortCommand(received uint64, host string) programs.End {
	return programs.End{
		Request: t.id, Program: t.program, Session: t.session, Actual: received, Host: host, Ticket: t.ticket,
	}
}

// settle has the stores take the end of a turn within a time.
func (p *Proxy) settle(ctx context.Context, t *turn, end programs.End, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := p.programs.call(ctx, t.program, end.Encode())
	return err
}

// settleInBackground settles a turn that no client waits for, also after the request has ended. The shutdown waits for it.
func (p *Proxy) settleInBackground(t *turn, end programs.End) {
	if !t.isAccounted() {
		return
	}
	p.settlements.Add(1)
	go func() {
		defer p.settlements.Done()
		if err := p.settle(p.settlementBase, t, end, backgroundEndTimeout); err != nil {
			p.log.WithField("code", uint16(codes.StoreUnreachable)).WithField("program", t.program).
				Warn("a turn could not be settled; its estimate stays charged")
		}
	}()
}
