package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/opconfig"
	"otterseam/tier/upstream"
)

const (
	headerRequestID   = "X-Request-Id"
	headerNotExecuted = "X-Not-Executed"
	headerLoad        = "X-Server-Load"
	maxAnswerBytes    = 64 << 20
	// refusedHosts is how many further hosts are asked after some that said that they did not run the request.
	refusedHosts = 3
)

// exchange is a request at one host.
type exchange struct {
	host     *target
	conn     *upstream.Conn
	response *http.Response
}

// sendError tells how far a request came.
type sendError struct {
	mayHaveRun bool
	cause      error
}

func (e *sendError) Error() string { return e.cause.Error() }

var errWrongAnswer = errors.New("the answer belongs to another request or is encoded")

// send sends a request to a host and reads the head of the answer.
func (p *Proxy) send(ctx context.Context, r *request, host *target, payload []byte, deadline time.Time) (*exchange, *sendError) {
	conn, err := host.pool.Get(ctx)
	if err != nil {
		return nil, &sendError{cause: err}
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	defer p.hosts.watchStall(host)()
	if err := conn.Send(payload, deadline); err != nil {
		conn.Close()
		return nil, &sendError{mayHaveRun: !errors.Is(err, upstream.ErrNotSent), cause: err}
	}
	response, err := conn.Receive(r.method)
	if err != nil {
		conn.Close()
		return nil, &sendError{mayHaveRun: true, cause: err}
	}
	if response.Header.Get(headerRequestID) != r.id || response.Header.Get("Content-Encoding") != "" {
		conn.Close()
		return nil, &sendError{mayHaveRun: true, cause: errWrongAnswer}
	}
	if load := response.Header.Get(headerLoad); load != "" {
		p.hosts.told(host, load)
	}
	return &exchange{host: host, conn: conn, response: response}, nil
}

// notExecuted tells whether the host says that it did not run the request.
func (x *exchange) notExecuted() bool {
	return x.response.Header.Get(headerNotExecuted) != "" || x.response.StatusCode == http.StatusMisdirectedRequest
}

// drain reads what is left of an answer, so that its connection can be used again.
func (x *exchange) drain() {
	if _, err := io.Copy(io.Discard, io.LimitReader(x.response.Body, maxAnswerBytes)); err != nil {
		x.conn.Close()
		return
	}
	x.release()
}

// release gives the connection back after the whole answer.
func (x *exchange) release() { x.host.pool.Put(x.conn, x.response.Header, x.response.Close) }

// servePlain serves a request whose answer is read whole before it is passed on.
func (p *Proxy) servePlain(ctx context.Context, w http.ResponseWriter, r *request) {
	repeatable := r.route.RouteType == opconfig.RouteSafe
	runs := max(r.route.MaxAttempts, 1)
	if !repeatable {
		runs = 1
	}
	tried := map[string]bool{}
	failure := codes.NoHost
	for refused := 0; refused <= refusedHosts && runs > 0 && r.left() > 0; {
		host := p.hosts.choose(r.service, "", tried)
		if host == nil {
			break
		}
		tried[host.ID] = true
		body, x, failed := p.attemptPlain(ctx, r, host, repeatable && runs > 1)
		switch {
		case failed == nil && !x.notExecuted():
			p.writePlain(w, x.response, body)
			return
		case failed == nil:
			refused++
			failure = codes.HostsFull
		case ctx.Err() != nil:
			p.outOfTime(ctx, w)
			return
		case failed.mayHaveRun:
			runs--
			failure = codes.HostFailed
		default:
			refused++
			failure = codes.NoHost
		}
	}
	if failure == codes.HostFailed && !repeatable {
		p.fail(w, http.StatusBadGateway, failure)
		return
	}
	p.refuse(w, failure)
}

// attemptPlain sends a request to one host. While another may be asked, it is given up after part of the time.
func (p *Proxy) attemptPlain(ctx context.Context, r *request, host *target, another bool) ([]byte, *exchange, *sendError) {
	deadline := r.deadline
	if another {
		deadline = time.Now().Add(r.left() / 2)
	}
	x, failed := p.send(ctx, r, host, r.encode(host.ID, "", r.body), deadline)
	if failed != nil {
		p.hosts.done(host, silentOutcome(ctx))
		return nil, nil, failed
	}
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxAnswerBytes))
	if err != nil {
		x.conn.Close()
		p.hosts.done(host, failedOutcome(ctx))
		return nil, nil, &sendError{mayHaveRun: true, cause: err}
	}
	x.release()
	p.hosts.done(host, x.outcome())
	return body, x, nil
}

// outOfTime ends a request whose time is up or whose client has gone, while a host may still be at work on it.
func (p *Proxy) outOfTime(ctx context.Context, w http.ResponseWriter) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	p.fail(w, http.StatusGatewayTimeout, codes.DeadlineReached)
}

// silentOutcome is that of a request that got no answer at all. A deadline that passed without a sign of life counts against the
// host, but pauses it not: under load deadlines pass at all hosts.
func silentOutcome(ctx context.Context) outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcomeErred
	}
	return failedOutcome(ctx)
}

// failedOutcome is that of a request whose answer broke off. A client that has gone says nothing of the host, nor does a deadline
// that passed while the answer came.
func failedOutcome(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return outcomeAbandoned
	}
	return outcomeFailed
}

// outcome is that of a whole answer.
func (x *exchange) outcome() outcome {
	switch {
	case x.notExecuted():
		return outcomeFull
	case x.response.StatusCode >= http.StatusInternalServerError:
		return outcomeErred
	default:
		return outcomeAnswered
	}
}

func (p *Proxy) writePlain(w http.ResponseWriter, response *http.Response, body []byte) {
	copyHeader(w.Header(), response.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
}
