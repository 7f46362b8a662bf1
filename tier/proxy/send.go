package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"otterseam/tier/attempt"
	"otterseam/tier/codes"
	"otterseam/tier/opconfig"
	"otterseam/tier/timeline"
	"otterseam/tier/upstream"
)

// maxResponseBytes bounds the body of a response that is read whole.
const maxResponseBytes = 64 << 20

// errResponseTooLong says that the body of a response passed maxResponseBytes.
var errResponseTooLong = errors.New("the response is too long")

// hostResponse is a host's response whose head was read. Its lease has to be released or closed.
type hostResponse struct {
	*http.Response
	host   *upstreamHost
	lease  *upstream.Lease
	sentAt time.Time
}

// content is what of a request differs from host to host.
type content struct {
	lastEventID string // behind which a stream resumes; empty for none
	body        []byte
}

// send sends a request to a host and reads the head of the response. Without a response the outcome says how far it came. Besides
// the context, a deadline that is not zero ends the attempt.
func (p *Proxy) send(ctx context.Context, r *request, host *upstreamHost, content content, deadline time.Time) (*hostResponse, attempt.Outcome) {
	lease, err := host.pool.Acquire(ctx, r.id)
	if err != nil {
		return nil, attempt.Unsent
	}
	p.timeline.Reach(timeline.FirstRequestSent)
	defer p.hosts.watchStall(host, p.latencies.stallThreshold(r))()
	sentAt := time.Now()
	response, err := lease.RoundTrip(upstream.Request{
		ID:       r.id,
		Method:   r.method,
		Bytes:    r.encode(host.ID, content.lastEventID, content.body),
		Deadline: deadline,
	})
	if err != nil {
		lease.Close()
		p.observeTimeout(r, sentAt, deadline)
		return nil, attempt.OutcomeOf(lease.Exchange())
	}
	if load := response.Header.Get(headerLoad); load != "" {
		p.hosts.updateLoad(host, load)
	}
	return &hostResponse{response, host, lease, sentAt}, attempt.Uncertain
}

// observeTimeout notes an attempt that failed if its deadline has passed.
func (p *Proxy) observeTimeout(r *request, sentAt, deadline time.Time) {
	if now := time.Now(); !deadline.IsZero() && !now.Before(deadline) {
		p.latencies.observeTimeout(r.route.Name, now.Sub(sentAt))
	}
}

// isRefused tells whether the host has proved that it did not run the request.
func (h *hostResponse) isRefused() bool {
	exchange := h.lease.Exchange()
	return exchange.IsRefused()
}

// head is what matters of the response's head.
func (h *hostResponse) head() attempt.Head {
	exchange := h.lease.Exchange()
	return exchange.Head()
}

// readAll reads the whole body and ends the lease. An error says that the response is incomplete.
func (h *hostResponse) readAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(h.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLong
	}
	if err != nil {
		h.lease.Close()
		return nil, err
	}
	h.lease.Release()
	return body, nil
}

// discard ends the lease of a response whose body nobody needs, so that its connection can be reused.
func (h *hostResponse) discard() { _, _ = h.readAll() }

// repeatabilityOf tells how often a request of a route may run.
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

// failureCode tells operators why an attempt failed.
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

// finishComplete notes a host's complete response.
func (p *Proxy) finishComplete(r *request, host *upstreamHost, head attempt.Head) {
	outcome := outcomeOfComplete(head)
	p.hosts.finish(host, outcome)
	if outcome != hostFull {
		p.outages.recordService(r.service)
	}
}

// outcomeOfComplete is that of a complete response.
func outcomeOfComplete(head attempt.Head) hostOutcome {
	switch {
	case head.IsRefusal():
		return hostFull
	case head.Status >= http.StatusInternalServerError:
		return hostErred
	default:
		return hostSucceeded
	}
}

// outcomeOfSilent is that of a request that got no response at all. A deadline that passed without a sign of life counts against the
// host, which doesn't back off for it: under load deadlines pass at all hosts.
func outcomeOfSilent(ctx context.Context, outcome attempt.Outcome) hostOutcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return hostErred
	case outcome == attempt.Unsent && ctx.Err() == nil:
		return hostUnreachable
	default:
		return outcomeOfBroken(ctx)
	}
}

// outcomeOfBroken is that of a request whose response broke off. A client that has disconnected says nothing of the host, nor does
// a deadline that passed while the response came.
func outcomeOfBroken(ctx context.Context) hostOutcome {
	if ctx.Err() != nil {
		return hostUnjudged
	}
	return hostBrokeOff
}
