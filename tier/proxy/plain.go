package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"otterseam/tier/attempt"
	"otterseam/tier/codes"
	"otterseam/tier/opconfig"
	"otterseam/tier/timeline"
	"otterseam/tier/upstream"
)

const (
	headerRequestID = "X-Request-Id"
	headerLoad      = "X-Server-Load"
	maxAnswerBytes  = 64 << 20
)

// hostResponse is the response of a host whose body is to be read. Its lease has to be released or closed.
type hostResponse struct {
	host     *target
	lease    *upstream.Lease
	response *http.Response
	sentAt   time.Time
}

// payload is what of a request differs from host to host.
type payload struct {
	lastEvent string // behind which a stream goes on
	body      []byte
}

// send sends a request to a host and reads the head of the answer. Without an answer the outcome says how far it came. Apart from
// the context, a limit that is not zero ends the attempt.
func (p *Proxy) send(ctx context.Context, r *request, host *target, content payload, limit time.Time) (*hostResponse, attempt.Outcome) {
	lease, err := host.pool.Acquire(ctx, r.id)
	if err != nil {
		return nil, attempt.Unsent
	}
	p.timeline.Reach(timeline.FirstRequestSent)
	defer p.hosts.watchStall(host, p.patience.stallAfter(r))()
	sentAt := time.Now()
	response, err := lease.RoundTrip(upstream.Request{
		ID:       r.id,
		Method:   r.method,
		Bytes:    r.encode(host.ID, content.lastEvent, content.body), // only now, as it tells the time that is left
		Deadline: limit,
	})
	if err != nil {
		lease.Close()
		p.noteGivenUp(r, sentAt, limit)
		return nil, attempt.OutcomeOf(lease.Exchange())
	}
	if load := response.Header.Get(headerLoad); load != "" {
		p.hosts.told(host, load)
	}
	return &hostResponse{host, lease, response, sentAt}, attempt.Uncertain
}

// noteGivenUp notes an attempt that failed because its limit has passed.
func (p *Proxy) noteGivenUp(r *request, sentAt, limit time.Time) {
	if now := time.Now(); !limit.IsZero() && !now.Before(limit) {
		p.patience.givenUp(r.route.Name, now.Sub(sentAt))
	}
}

// refused tells whether the host has proved that it did not run the request.
func (a *hostResponse) refused() bool {
	state := a.lease.Exchange()
	return state.IsRefused()
}

// head is what matters of the answer's head.
func (a *hostResponse) head() attempt.Head {
	state := a.lease.Exchange()
	return state.Head()
}

var errAnswerTooLong = errors.New("the answer is too long")

// readAll reads the whole body and ends the lease. An error says that the answer is not whole.
func (a *hostResponse) readAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLong
	}
	if err != nil {
		a.lease.Close()
		return nil, err
	}
	a.lease.Release()
	return body, nil
}

// drain ends the lease of an attempt whose body nobody needs, so that its connection can be used again.
func (a *hostResponse) drain() { _, _ = a.readAll() }

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

// plainAnswer is an answer that was read whole.
type plainAnswer struct {
	response *http.Response
	head     attempt.Head
	body     []byte
}

// servePlain serves a request whose answer is read whole before it is passed on.
func (p *Proxy) servePlain(ctx context.Context, w http.ResponseWriter, r *request) {
	attempts := attempt.NewAttempts(repeatabilityOf(r.route), r.route.MaxAttempts)
	tried := map[string]bool{}
	failure := codes.NoHost
	for attempts.CanAttempt() && ctx.Err() == nil {
		host := p.hosts.choose(r.service, "", tried)
		if host == nil {
			break
		}
		tried[host.ID] = true
		answer, outcome := p.attemptPlain(ctx, r, host, !attempts.IsLast())
		if attempts.Next(outcome) == attempt.Forward {
			p.passOnPlain(w, r, attempts, answer)
			return
		}
		if ctx.Err() != nil {
			break
		}
		failure = failureCode(outcome)
	}
	switch {
	case ctx.Err() != nil:
		p.outOfTime(ctx, w)
	case attempts.FinalStep() == attempt.Fail:
		p.fail(w, http.StatusBadGateway, codes.HostFailed)
	case failure == codes.HostFailed:
		p.refuse(w, failure, r.left(), 0) // other hosts are there now
	default:
		p.refuse(w, failure, r.left(), p.outages.turnedAway(r.service))
	}
}

// attemptPlain sends a request to one host. One that may be repeated is given up when it takes out of the ordinary long, and while
// another host may run it, after part of the time: the client, or the proxy, tries again.
func (p *Proxy) attemptPlain(ctx context.Context, r *request, host *target, another bool) (plainAnswer, attempt.Outcome) {
	var limit time.Time // none but that of the context
	if repeatabilityOf(r.route) == attempt.Idempotent {
		limit = p.patience.limit(r)
	}
	if another && limit.IsZero() {
		limit = time.Now().Add(r.left() / 2)
	}
	sent, outcome := p.send(ctx, r, host, payload{body: r.body}, limit)
	if sent == nil {
		p.hosts.done(host, silentOutcome(ctx, outcome))
		return plainAnswer{}, outcome
	}
	p.patience.answered(r.route.Name, time.Since(sent.sentAt))
	head := sent.head()
	body, err := sent.readAll()
	if err != nil && !head.IsRefusal() {
		p.hosts.done(host, failedOutcome(ctx))
		return plainAnswer{}, attempt.Uncertain
	}
	p.answered(r, host, head)
	return plainAnswer{sent.response, head, body}, attempt.OutcomeOf(sent.lease.Exchange())
}

// answered notes a host's whole answer.
func (p *Proxy) answered(r *request, host *target, head attempt.Head) {
	how := answeredOutcome(head)
	p.hosts.done(host, how)
	if how != outcomeFull {
		p.outages.servedBy(r.service)
	}
}

// outOfTime ends a request whose time is up, or the proxy's, or whose client has gone, while a host may still be at work on it.
func (p *Proxy) outOfTime(ctx context.Context, w http.ResponseWriter) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p.fail(w, http.StatusGatewayTimeout, codes.DeadlineReached)
	case errors.Is(context.Cause(ctx), errStopping):
		p.fail(w, http.StatusBadGateway, codes.Stopping)
	default:
		panic(http.ErrAbortHandler)
	}
}

// silentOutcome is that of a request that got no answer at all. A deadline that passed without a sign of life counts against the
// host, but pauses it not: under load deadlines pass at all hosts.
func silentOutcome(ctx context.Context, how attempt.Outcome) outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcomeErred
	case how == attempt.Unsent && ctx.Err() == nil:
		return outcomeUnreached
	default:
		return failedOutcome(ctx)
	}
}

// failedOutcome is that of a request whose answer broke off. A client that has gone says nothing of the host, nor does a deadline
// that passed while the answer came.
func failedOutcome(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return outcomeAbandoned
	}
	return outcomeFailed
}

// answeredOutcome is that of a whole answer.
func answeredOutcome(head attempt.Head) outcome {
	switch {
	case head.IsRefusal():
		return outcomeFull
	case head.Status >= http.StatusInternalServerError:
		return outcomeErred
	default:
		return outcomeAnswered
	}
}

// passOnPlain gives the client the host's answer, unless it promises what the host has not proved.
func (p *Proxy) passOnPlain(w http.ResponseWriter, r *request, attempts attempt.Attempts, answer plainAnswer) {
	if !attempts.MayForward(answer.head) {
		p.fail(w, http.StatusBadGateway, codes.HostFailed)
		return
	}
	copyHeader(w.Header(), answer.response.Header)
	if r.method == http.MethodHead {
		copyLength(w.Header(), answer.response.Header)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	w.WriteHeader(answer.response.StatusCode)
	_, _ = w.Write(answer.body)
}

// copyLength passes on the length that the host names for a body that it does not send.
func copyLength(to, from http.Header) {
	if length := from.Get("Content-Length"); length != "" {
		to.Set("Content-Length", length)
	}
}
