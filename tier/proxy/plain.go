package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"otterseam/tier/attempt"
	"otterseam/tier/codes"
)

// plainResponse is a response of a host whose body was read completely, or as far as it may be held.
type plainResponse struct {
	*hostResponse
	head     attempt.Head
	body     []byte
	complete bool // the body is complete and the lease has ended
}

// servePlain serves a request whose response is read before it is forwarded, but for the rest of a long one. It tries hosts until one has
// answered or no further attempt is permitted.
func (p *Proxy) servePlain(ctx context.Context, w http.ResponseWriter, r *request) {
	attempts := attempt.NewAttempts(repeatabilityOf(r.route), r.route.MaxAttempts)
	tried := map[string]bool{}
	failure := codes.NoHost
	defer r.memory.end()
	for attempts.CanAttempt() && ctx.Err() == nil {
		if r.memory.begin(p.responses) != nil {
			failure = codes.Overloaded
			break
		}
		host := p.chooseHost(ctx, r.service, "", tried)
		if host == nil {
			break
		}
		tried[host.ID] = true
		response, outcome := p.attemptPlain(ctx, r, host, !attempts.IsLast())
		if attempts.Next(outcome) == attempt.Forward {
			p.forwardPlain(ctx, w, r, attempts, response)
			return
		}
		if ctx.Err() != nil {
			break
		}
		failure = failureCode(outcome)
	}
	p.failPlain(ctx, w, r, attempts.FinalStep(), failure)
}

// failPlain writes the error response to a request that no host has answered. failure is the reason why the last attempt failed.
func (p *Proxy) failPlain(ctx context.Context, w http.ResponseWriter, r *request, step attempt.Step, failure codes.Code) {
	switch {
	case ctx.Err() != nil:
		p.failCancelled(ctx, w)
	case step == attempt.Fail:
		p.fail(w, http.StatusBadGateway, codes.HostFailed)
	default:
		p.rejectFailed(w, r, failure)
	}
}

// rejectFailed rejects a request that no host has run. failure is the reason why the last attempt failed.
func (p *Proxy) rejectFailed(w http.ResponseWriter, r *request, failure codes.Code) {
	switch failure {
	case codes.HostFailed:
		p.reject(w, failure, r.remaining(), 0) // other hosts are available at once
	case codes.Overloaded:
		p.reject(w, failure, r.remaining(), overloadDelay)
	default:
		p.reject(w, failure, r.remaining(), p.outages.recordOverload(r.service))
	}
}

// attemptPlain sends a request to one host and reads the response, as far as it may be held.
func (p *Proxy) attemptPlain(ctx context.Context, r *request, host *upstreamHost, retryPossible bool) (plainResponse, attempt.Outcome) {
	response, outcome := p.send(ctx, r, host, attemptInput{body: r.body}, p.plainDeadline(r, retryPossible))
	if response == nil {
		p.hosts.finish(host, outcomeWithoutResponse(ctx, r, outcome))
		return plainResponse{}, outcome
	}
	p.latencies.observeResponse(r.route.Name, time.Since(response.sentAt))
	if response.isRefused() {
		p.discardRefusal(r, response)
		return plainResponse{}, attempt.Refused
	}
	return p.holdBody(ctx, r, response)
}

// discardRefusal ends a response which proves that the host did not run the request. A host whose refusal is too long has failed, so that
// the next requests avoid it.
func (p *Proxy) discardRefusal(r *request, response *hostResponse) {
	if response.discard() {
		p.hosts.finish(response.host, hostRejected)
		return
	}
	p.recordExcess(response.host, excessUnread, r.id)
	p.hosts.finish(response.host, hostResponseBroken)
}

// holdBody reads the body of a response, as far as it may be held.
func (p *Proxy) holdBody(ctx context.Context, r *request, response *hostResponse) (plainResponse, attempt.Outcome) {
	if response.isTooLong() {
		response.lease.Close()
		p.recordExcess(response.host, excessBody, r.id)
		p.hosts.finish(response.host, hostResponseBroken)
		return plainResponse{}, attempt.Uncertain
	}
	head := response.head()
	body, complete, err := response.hold()
	if err != nil {
		p.recordIfYielded(r, response.host)
		p.hosts.finish(response.host, outcomeOfBrokenResponse(ctx))
		return plainResponse{}, attempt.Uncertain
	}
	if complete {
		p.finishComplete(r, response.host, head)
	}
	return plainResponse{response, head, body, complete}, attempt.Answered
}

// plainDeadline returns the deadline of an attempt, or zero if only the deadline of the request applies. An attempt of an idempotent
// request ends when the host has been silent for unusually long. Otherwise, if another host may run the request afterwards, the
// attempt ends after half of the remaining time, which leaves time for a retry by the proxy or the client.
func (p *Proxy) plainDeadline(r *request, retryPossible bool) time.Time {
	var deadline time.Time
	if repeatabilityOf(r.route) == attempt.Idempotent {
		deadline = p.latencies.responseDeadline(r)
	}
	if retryPossible && deadline.IsZero() {
		deadline = time.Now().Add(r.remaining() / 2)
	}
	return deadline
}

// forwardPlain forwards the host's response to the client. It sends an error instead of a response whose status promises that the
// request has not run, if the host has not proved it and the request must not run twice.
func (p *Proxy) forwardPlain(ctx context.Context, w http.ResponseWriter, r *request, attempts attempt.Attempts, response plainResponse) {
	if !attempts.MayForward(response.head) {
		if !response.complete {
			response.lease.Close()
			p.finishComplete(r, response.host, response.head)
		}
		p.fail(w, http.StatusBadGateway, codes.HostFailed)
		return
	}
	copyHeader(w.Header(), response.Header)
	switch {
	case r.method == http.MethodHead:
		copyLength(w.Header(), response.Header)
	case response.complete:
		w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	case response.ContentLength >= 0:
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
	if response.complete {
		_ = response.write(w, response.body)
		return
	}
	p.forwardRest(ctx, w, r, response)
}

// forwardRest forwards the body of a response that is too long to be held. If that fails, the client's response is broken off.
func (p *Proxy) forwardRest(ctx context.Context, w http.ResponseWriter, r *request, response plainResponse) {
	err := response.forwardRest(w, response.body)
	var clientFailed *clientError
	switch {
	case err == nil:
		p.finishComplete(r, response.host, response.head)
		return
	case errors.As(err, &clientFailed):
		p.hosts.finish(response.host, hostInconclusive)
	case errors.Is(err, errResponseTooLarge):
		p.recordExcess(response.host, excessBody, r.id)
		p.hosts.finish(response.host, hostResponseBroken)
	default:
		p.recordIfYielded(r, response.host)
		p.hosts.finish(response.host, outcomeOfBrokenResponse(ctx))
	}
	panic(http.ErrAbortHandler)
}

// copyLength copies the Content-Length of a response to a HEAD request, which has no body.
func copyLength(to, from http.Header) {
	if length := from.Get("Content-Length"); length != "" {
		to.Set("Content-Length", length)
	}
}
