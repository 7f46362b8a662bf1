package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"otterseam/tier/attempt"
)

const (
	// directBytes is the longest request that is written before its answer is read; a longer one is written beside that, as its
	// host may answer before it has read it all.
	directBytes = 16 << 10
	// maxInterim is how many interim answers are read before the answer proper.
	maxInterim = 16
	// maxSurplusBytes is the longest surplus answer that is read over.
	maxSurplusBytes = 1 << 20

	headerRequestID   = "X-Request-Id"
	headerNotExecuted = "X-Not-Executed"
	headerSeal        = "X-Response-Seal"
)

var (
	// ErrWrongAnswer says that what came is not the answer to the request.
	ErrWrongAnswer = errors.New("what came is not the answer to this request")
	// ErrRepeatedID says that the connection has carried a request with the same id; the request was not sent.
	ErrRepeatedID = errors.New("the connection has carried a request with this id")
)

// Request is a request as it goes onto a connection.
type Request struct {
	ID       string
	Method   string
	Bytes    []byte
	Deadline time.Time // of the exchange, besides the context's; zero for none
}

// Lease is the ownership of a connection for one request. It ends with Release or Close, and with it every hold of the owner:
// the context's, the deadline and the writer of a long request. Using it after that panics, except for Close.
type Lease struct {
	pool *Pool
	stop func() bool // takes the owner's context off the connection

	mu          sync.Mutex
	conn        *conn // nil once the lease has ended
	interrupted bool
	state       attempt.Exchange

	header http.Header // of the answer
}

func newLease(ctx context.Context, pool *Pool, conn *conn) *Lease {
	lease := &Lease{pool: pool, conn: conn}
	lease.stop = context.AfterFunc(ctx, lease.interrupt)
	return lease
}

// interrupt ends the connection while the lease holds it. The owner's next read or write fails.
func (l *Lease) interrupt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.interrupted = true
		l.conn.close()
	}
}

// held returns the connection. It panics if the lease has ended: somebody else may own the connection.
func (l *Lease) held() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		panic("upstream: a connection is used after its lease has ended")
	}
	return l.conn
}

// Exchange is how far the request has come.
func (l *Lease) Exchange() attempt.Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// note has the exchange follow an event.
func (l *Lease) note(event func(*attempt.Exchange)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event(&l.state)
}

// RoundTrip sends the request and reads the head of its answer, whose body reads from the connection. After an error the lease
// has to be closed; the exchange tells whether the request may have run.
func (l *Lease) RoundTrip(request Request) (*http.Response, error) {
	conn := l.held()
	if !conn.carry(request.ID, request.Method) {
		return nil, errors.Join(ErrNotSent, ErrRepeatedID)
	}
	_ = conn.socket.SetDeadline(request.Deadline)
	if err := l.send(conn, request.Bytes); err != nil {
		l.note((*attempt.Exchange).Break)
		return nil, errors.Join(ErrNotSent, err)
	}
	response, err := l.receive(conn, request)
	if err != nil {
		l.note((*attempt.Exchange).Break)
		return nil, err
	}
	l.header = response.Header
	response.Body = &body{lease: l, inner: response.Body}
	return response, nil
}

// send writes a request, the rest of a long one beside what follows. It fails only if no byte has left: whatever else goes wrong,
// an answer may come all the same.
func (l *Lease) send(conn *conn, request []byte) error {
	first := request[:min(len(request), directBytes)]
	rest := request[len(first):]
	n, err := conn.socket.Write(first)
	if n == 0 && err != nil {
		return err
	}
	if err == nil && len(rest) == 0 {
		l.note(func(state *attempt.Exchange) { state.Write(attempt.WrittenAll) })
		return nil
	}
	l.note(func(state *attempt.Exchange) { state.Write(attempt.WrittenSome) })
	if err == nil {
		go l.sendRest(conn, rest)
	}
	return nil
}

// sendRest writes the rest of a long request. It ends with the connection, which cannot be given back before it has ended.
func (l *Lease) sendRest(conn *conn, rest []byte) {
	if _, err := conn.socket.Write(rest); err == nil {
		l.note(func(state *attempt.Exchange) { state.Write(attempt.WrittenAll) })
	}
}

// receive reads the head of the answer. It reads over interim answers and over surplus ones to earlier requests.
func (l *Lease) receive(conn *conn, request Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	for range maxInterim {
		response, err := conn.readHead(asked)
		if err != nil {
			return nil, err
		}
		if isInterim(response.StatusCode) {
			continue
		}
		switch l.judge(conn.describe(response, request)) {
		case attempt.Accept:
			return response, nil
		case attempt.Skip:
			if err := skipBody(response); err != nil {
				return nil, err
			}
		default:
			return nil, ErrWrongAnswer
		}
	}
	return nil, ErrWrongAnswer
}

func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

func (l *Lease) judge(head attempt.Head) attempt.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.ReceiveHead(head)
}

// skipBody reads over the body of a surplus answer.
func skipBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes+1))
	if err == nil && n > maxSurplusBytes {
		return ErrWrongAnswer
	}
	return err
}

// Unhurried takes the deadline of the request away, once its answer has begun to come.
func (l *Lease) Unhurried() { _ = l.held().socket.SetDeadline(time.Time{}) }

// Release gives the connection back, if it can carry another request, and ends it otherwise.
func (l *Lease) Release() {
	conn := l.held()
	idleFor := idleTime(l.header)
	if !l.end() || idleFor <= 0 {
		conn.close()
		return
	}
	_ = conn.socket.SetDeadline(time.Time{}) // that of this request would end the next one
	conn.idleFor = idleFor
	conn.idleSince = time.Now()
	l.pool.put(conn)
}

// Close ends the connection, unless the lease has ended before.
func (l *Lease) Close() {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return
	}
	l.end()
	conn.close()
}

// end ends every hold of the owner. It reports whether the connection is good for another one.
func (l *Lease) end() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	reusable := l.state.IsReusable() && !l.interrupted
	l.conn = nil // from here on, interrupt does nothing, also if it has begun
	l.stop()
	return reusable
}

// body is the body of an answer, while the lease lasts.
type body struct {
	lease *Lease
	inner io.ReadCloser
}

// Read reads from the connection.
func (b *body) Read(p []byte) (int, error) {
	conn := b.lease.held()
	n, err := b.inner.Read(p)
	b.lease.note(func(state *attempt.Exchange) {
		if n > 0 {
			state.ReceiveBody()
		}
		switch {
		case err == io.EOF:
			state.End()
			if conn.reader.Buffered() > 0 {
				state.ReceiveUnsolicited()
			}
		case err != nil:
			state.Break()
		}
	})
	return n, err
}

// Close does nothing: the lease ends the reading.
func (b *body) Close() error { return nil }
