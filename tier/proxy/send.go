package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"otterseam/tier/attempt"
	"otterseam/tier/codes"
	"otterseam/tier/memorybudget"
	"otterseam/tier/opconfig"
	"otterseam/tier/timeline"
	"otterseam/tier/upstream"
)

// errResponseTooLarge indicates a response body larger than maxResponseBytes.
var errResponseTooLarge = errors.New("response body is too large")

// attemptInput is the part of a request that may differ between attempts.
type attemptInput struct {
	lastEventID string // ID of the event after which a stream resumes, or empty
	body        []byte
}

// send sends a request to a host and reads the head of the response. If it returns no response, the outcome states whether the host
// may have run the request. The attempt ends with the context or at the deadline, unless the deadline is zero.
func (p *Proxy) send(ctx context.Context, r *request, host *upstreamHost, input attemptInput, deadline time.Time) (*hostResponse, attempt.Outcome) {
	lease, err := host.pool.Acquire(ctx, r.id)
	if err != nil {
		return nil, attempt.Unsent
	}
	r.memory.attach(lease)
	p.timeline.Reach(timeline.FirstRequestSent)
	defer p.hosts.watchStall(host, p.latencies.stallThreshold(r))()
	sentAt := time.Now()
	response, err := lease.RoundTrip(upstream.Request{
		ID:       r.id,
		Method:   r.method,
		Bytes:    r.encode(host.ID, input.lastEventID, input.body),
		Deadline: deadline,
		Memory:   &r.memory.claim,
	})
	if err != nil {
		lease.Close()
		if errors.Is(err, upstream.ErrHeadTooLong) {
			p.recordExcess(host, excessHead, r.id)
		}
		r.memory.starved = errors.Is(err, memorybudget.ErrSpent)
		p.recordIfYielded(r, host)
		p.observeTimeout(r, sentAt, deadline)
		return nil, attempt.OutcomeOf(lease.Exchange())
	}
	if load := response.Header.Get(headerLoad); load != "" {
		p.hosts.updateLoad(host, load)
	}
	return &hostResponse{response, host, lease, &r.memory, sentAt}, attempt.Uncertain
}

// observeTimeout records the waiting time of a failed attempt if the attempt's deadline has passed.
func (p *Proxy) observeTimeout(r *request, sentAt, deadline time.Time) {
	if now := time.Now(); !deadline.IsZero() && !now.Before(deadline) {
		p.latencies.observeTimeout(r.route.Name, now.Sub(sentAt))
	}
}

// isRefused reports whether the host has proved that it did not run the request.
func (h *hostResponse) isRefused() bool {
	exchange := h.lease.Exchange()
	return exchange.IsRefused()
}

// head returns the parts of the response's head that are relevant for retries.
func (h *hostResponse) head() attempt.Head {
	exchange := h.lease.Exchange()
	return exchange.Head()
}

// repeatabilityOf returns whether the requests of a route may run more than once.
func repeatabilityOf(route *opconfig.Route) attempt.Repeatability {
	switch {
	case route.RouteType == opconfig.RouteSafe:
		return attempt.Idempotent
	case route.RouteType == opconfig.RouteStreaming && route.Resumable:
		return attempt.Resumable
	default:
		return attempt.AtMostOnce
	}
}

// failureCode returns the code, for clients and operators, of the reason why an attempt failed.
func failureCode(outcome attempt.Outcome) codes.Code {
	switch outcome {
	case attempt.Refused:
		return codes.HostsFull
	case attempt.Unsent:
		return codes.NoHost
	default:
		return codes.HostFailed
	}
}

// finishComplete records a host's complete response.
func (p *Proxy) finishComplete(r *request, host *upstreamHost, head attempt.Head) {
	outcome := outcomeOfCompleteResponse(head)
	p.hosts.finish(host, outcome)
	if outcome != hostRejected {
		p.outages.recordServiceSuccess(r.service)
	}
}

// outcomeOfCompleteResponse returns the outcome for the host of a complete response.
func outcomeOfCompleteResponse(head attempt.Head) hostOutcome {
	switch {
	case head.IsRefusal():
		return hostRejected
	case head.Status >= http.StatusInternalServerError:
		return hostServerError
	default:
		return hostSucceeded
	}
}

// outcomeWithoutResponse returns the outcome for the host of a request that received no response. If the request's deadline has
// passed, this counts as an error of the host but starts no backoff, because under load deadlines pass at all hosts.
func outcomeWithoutResponse(ctx context.Context, r *request, outcome attempt.Outcome) hostOutcome {
	switch {
	case r.memory.starved || outcome == attempt.Unsent && r.memory.hasYielded():
		return hostInconclusive
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return hostServerError
	case outcome == attempt.Unsent && ctx.Err() == nil:
		return hostUnreachable
	default:
		return outcomeOfBrokenResponse(ctx)
	}
}

// outcomeOfBrokenResponse returns the outcome for the host of a request whose response was interrupted. It is inconclusive if the
// client has disconnected or the deadline has passed during the response, since the host did not cause that.
func outcomeOfBrokenResponse(ctx context.Context) hostOutcome {
	if ctx.Err() != nil {
		return hostInconclusive
	}
	return hostResponseBroken
}
