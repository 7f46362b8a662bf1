package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"otterseam/tier/codes"
	"otterseam/tier/sse"
)

// relayState is the answer of a turn as far as the client has it.
type relayState struct {
	started  bool
	events   uint64
	lastID   int64
	output   []byte
	host     string
	clientOK bool
}

// relay sends a turn to hosts until one streams its answer, and passes the events on as they come. On a resumable route a
// broken-off stream goes on at another host within the same answer.
func (p *Proxy) relay(ctx context.Context, w http.ResponseWriter, t *turn) {
	state := &relayState{lastID: -1, clientOK: true}
	if id, err := strconv.ParseInt(t.header.Get("Last-Event-Id"), 10, 64); err == nil {
		state.lastID = id
	}
	runs := max(t.route.MaxAttempts, 1)
	if !t.route.Resumable {
		runs = 1
	}
	tried := map[string]bool{}
	failure := codes.NoHost
	for refused := 0; refused <= refusedHosts && runs > 0 && t.left() > 0; {
		host := p.hosts.choose(t.service, t.hint, tried)
		if host == nil {
			break
		}
		tried[host.ID] = true
		ended, failed := p.relayFrom(ctx, w, t, host, state)
		if ended {
			return
		}
		if ctx.Err() != nil || !state.clientOK {
			break
		}
		if failed.mayHaveRun {
			runs--
			failure = codes.HostFailed
		} else {
			refused++
			failure = refusalCode(failed)
		}
	}
	p.giveUp(ctx, w, t, state, failure)
}

var errNotExecuted = errors.New("the host did not run the request")

func refusalCode(failed *sendError) codes.Code {
	if errors.Is(failed.cause, errNotExecuted) {
		return codes.HostsFull
	}
	return codes.NoHost
}

// giveUp ends a turn that no host finished.
func (p *Proxy) giveUp(ctx context.Context, w http.ResponseWriter, t *turn, state *relayState, failure codes.Code) {
	p.settleLater(t, t.end(state.events*t.stride, false, nil, state.host))
	switch {
	case state.started || !state.clientOK:
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil:
		p.outOfTime(ctx, w)
	case failure == codes.HostFailed:
		p.fail(w, http.StatusBadGateway, failure)
	default:
		p.refuse(w, failure)
	}
}

// relayFrom serves the turn from one host. It reports whether the answer has ended, one way or another.
func (p *Proxy) relayFrom(ctx context.Context, w http.ResponseWriter, t *turn, host *target, state *relayState) (bool, *sendError) {
	lastEvent := t.header.Get("Last-Event-Id")
	if state.started && state.lastID >= 0 {
		lastEvent = strconv.FormatInt(state.lastID, 10)
	}
	x, failed := p.send(ctx, t.request, host, t.encode(host.ID, lastEvent, t.prompt), t.deadline)
	if failed != nil {
		p.hosts.done(host, silentOutcome(ctx))
		return false, failed
	}
	if x.notExecuted() {
		x.drain()
		p.hosts.done(host, outcomeFull)
		return false, &sendError{cause: errNotExecuted}
	}
	if x.response.StatusCode != http.StatusOK {
		return p.relayFailure(ctx, w, t, x, state)
	}
	return p.relayEvents(ctx, w, t, x, state)
}

// relayFailure passes on a failure that the host itself gave.
func (p *Proxy) relayFailure(ctx context.Context, w http.ResponseWriter, t *turn, x *exchange, state *relayState) (bool, *sendError) {
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxAnswerBytes))
	if err != nil || state.started {
		x.conn.Close()
		p.hosts.done(x.host, failedOutcome(ctx))
		return false, &sendError{mayHaveRun: true, cause: errors.Join(err, errWrongAnswer)}
	}
	x.release()
	p.hosts.done(x.host, x.outcome())
	p.settleLater(t, t.end(0, false, nil, x.host.ID))
	p.writePlain(w, x.response, body)
	return true, nil
}

const streamReadBytes = 4 << 10

// relayEvents passes events on, each as soon as it is whole.
func (p *Proxy) relayEvents(ctx context.Context, w http.ResponseWriter, t *turn, x *exchange, state *relayState) (bool, *sendError) {
	stop := context.AfterFunc(ctx, x.conn.Close)
	defer stop()
	var splitter sse.Splitter
	buffer := make([]byte, streamReadBytes)
	state.host = x.host.ID
	for {
		n, err := x.response.Body.Read(buffer)
		for _, event := range splitter.Add(buffer[:n]) {
			if event.ID >= 0 && event.ID <= state.lastID {
				continue
			}
			if !p.passOn(w, t, x, state, event) {
				x.conn.Close()
				p.hosts.done(x.host, outcomeAbandoned)
				return false, &sendError{mayHaveRun: true, cause: codes.ClientGone}
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && splitter.Pending() == 0 {
			x.release()
			p.hosts.done(x.host, outcomeAnswered)
			p.finish(ctx, w, t, x, state)
			return true, nil
		}
		x.conn.Close()
		p.hosts.done(x.host, failedOutcome(ctx))
		return false, &sendError{mayHaveRun: true, cause: err}
	}
}

// passOn writes one event to the client.
func (p *Proxy) passOn(w http.ResponseWriter, t *turn, x *exchange, state *relayState, event sse.Event) bool {
	state.start(w, x)
	state.events++
	if event.ID >= 0 {
		state.lastID = event.ID
	}
	if t.route.Retained {
		state.output = append(state.output, event.Data...)
		state.output = append(state.output, '\n')
	}
	if _, err := w.Write(event.Raw); err != nil {
		state.clientOK = false
		return false
	}
	if flusher, can := w.(http.Flusher); can {
		flusher.Flush()
	}
	return true
}

// start writes the head of the answer, which stays that of the first host.
func (s *relayState) start(w http.ResponseWriter, x *exchange) {
	if s.started {
		return
	}
	s.started = true
	copyHeader(w.Header(), x.response.Header)
	w.WriteHeader(x.response.StatusCode)
}

// finish ends a whole answer. A turn that is to be kept is durable before the client can see that its answer has ended.
func (p *Proxy) finish(ctx context.Context, w http.ResponseWriter, t *turn, x *exchange, state *relayState) {
	state.start(w, x)
	end := t.end(state.events*t.stride, true, state.output, state.host)
	if !t.accounted() {
		return
	}
	if !t.route.Retained {
		p.settleLater(t, end)
		return
	}
	if err := p.settle(ctx, t, end, min(endPatience, max(t.left(), 0))); err != nil {
		p.log.WithField("code", uint16(codes.AnswerNotKept)).WithField("request", t.id).WithError(err).
			Warn("a turn could not be made durable; its answer is broken off")
		p.settleLater(t, t.end(state.events*t.stride, false, nil, state.host))
		panic(http.ErrAbortHandler)
	}
}
