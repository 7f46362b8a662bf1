package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"otterseam/tier/attempt"
	"otterseam/tier/codes"
)

// plainResponse is a host's response that was read whole.
type plainResponse struct {
	response *http.Response
	head     attempt.Head
	body     []byte
}

// servePlain serves a request whose response is read whole before it is forwarded: it tries hosts until one has answered or no
// further one may be tried.
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

// failPlain answers a request that no host has answered. Failure is why the last attempt failed.
func (p *Proxy) failPlain(ctx context.Context, w http.ResponseWriter, r *request, step attempt.Step, failure codes.Code) {
	switch {
	case ctx.Err() != nil:
		p.failCancelled(ctx, w)
	case step == attempt.Fail:
		p.fail(w, http.StatusBadGateway, codes.HostFailed)
	case failure == codes.HostFailed:
		p.reject(w, failure, r.remaining(), 0) // other hosts are there now
	default:
		p.reject(w, failure, r.remaining(), p.outages.recordOverload(r.service))
	}
}

// attemptPlain sends a request to one host.
func (p *Proxy) attemptPlain(ctx context.Context, r *request, host *upstreamHost, retryPossible bool) (plainResponse, attempt.Outcome) {
	response, outcome := p.send(ctx, r, host, content{body: r.body}, p.plainDeadline(r, retryPossible))
	if response == nil {
		p.hosts.finish(host, outcomeOfSilent(ctx, outcome))
		return plainResponse{}, outcome
	}
	p.latencies.observeResponse(r.route.Name, time.Since(response.sentAt))
	head := response.head()
	body, err := response.readAll()
	if err != nil && !head.IsRefusal() {
		p.hosts.finish(host, outcomeOfBroken(ctx))
		return plainResponse{}, attempt.Uncertain
	}
	p.finishComplete(r, host, head)
	return plainResponse{response.Response, head, body}, attempt.OutcomeOf(response.lease.Exchange())
}

// plainDeadline is when an attempt ends besides the request's own deadline, or zero. An idempotent request is given up when its
// host is silent for unusually long, and while another host may run it, any request after half of the time that remains: the client,
// or the proxy, retries.
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

// forwardPlain gives the client the host's response, unless it promises what the host has not proved.
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

// copyLength forwards the length that the host names for a body that it does not send.
func copyLength(to, from http.Header) {
	if length := from.Get("Content-Length"); length != "" {
		to.Set("Content-Length", length)
	}
}
