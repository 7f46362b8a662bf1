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

// plainResponse is a completely read response of a host.
type plainResponse struct {
	response *http.Response
	head     attempt.Head
	body     []byte
}

// servePlain serves a request whose response is read completely before it is forwarded. It tries hosts until one has answered or no
// further attempt is permitted.
func (p *Proxy) servePlain(ctx context.Context, w http.ResponseWriter, r *request) {
	attempts := attempt.NewAttempts(repeatabilityOf(r.route), r.route.MaxAttempts)
	tried := map[string]bool{}
	failure := codes.NoHost
	for attempts.CanAttempt() && ctx.Err() == nil {
		host := p.chooseHost(ctx, r.service, "", tried)
		if host == nil {
			break
		}
		tried[host.ID] = true
		response, outcome := p.attemptPlain(ctx, r, host, !attempts.IsLast())
		if attempts.Next(outcome) == attempt.Forward {
			p.forwardPlain(w, r, attempts, response)
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
	case failure == codes.HostFailed:
		p.reject(w, failure, r.remaining(), 0) // other hosts are available at once
	default:
		p.reject(w, failure, r.remaining(), p.outages.recordOverload(r.service))
	}
}

// attemptPlain sends a request to one host and reads the whole response.
func (p *Proxy) attemptPlain(ctx context.Context, r *request, host *upstreamHost, retryPossible bool) (plainResponse, attempt.Outcome) {
	response, outcome := p.send(ctx, r, host, attemptInput{body: r.body}, p.plainDeadline(r, retryPossible))
	if response == nil {
		p.hosts.finish(host, outcomeWithoutResponse(ctx, outcome))
		return plainResponse{}, outcome
	}
	p.latencies.observeResponse(r.route.Name, time.Since(response.sentAt))
	head := response.head()
	body, err := response.readAll()
	if errors.Is(err, errResponseTooLarge) {
		p.recordExcess(host, excessBody, r.id)
	}
	if err != nil && !head.IsRefusal() {
		p.hosts.finish(host, outcomeOfBrokenResponse(ctx))
		return plainResponse{}, attempt.Uncertain
	}
	p.finishComplete(r, host, head)
	return plainResponse{response.Response, head, body}, attempt.OutcomeOf(response.lease.Exchange())
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
func (p *Proxy) forwardPlain(w http.ResponseWriter, r *request, attempts attempt.Attempts, response plainResponse) {
	if !attempts.MayForward(response.head) {
		p.fail(w, http.StatusBadGateway, codes.HostFailed)
		return
	}
	copyHeader(w.Header(), response.response.Header)
	if r.method == http.MethodHead {
		copyLength(w.Header(), response.response.Header)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	w.WriteHeader(response.response.StatusCode)
	_, _ = w.Write(response.body)
}

// copyLength copies the Content-Length of a response to a HEAD request, which has no body.
func copyLength(to, from http.Header) {
	if length := from.Get("Content-Length"); length != "" {
		to.Set("Content-Length", length)
	}
}
