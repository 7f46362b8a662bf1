package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"otterseam/tier/attempt"
	"otterseam/tier/memorybudget"
)

const (
	// inlineWriteBytes is the largest request, in bytes, that is written completely before its response is read. The rest of a longer
	// request is written in another goroutine, as the host may respond before it has read the whole request.
	inlineWriteBytes = 16 << 10
	// maxResponseHeads limits how many heads are read for one request, including those of interim and unsolicited responses.
	maxResponseHeads = 16
	// maxUnsolicitedBytes is the largest body of an unsolicited response that is discarded. A longer body fails the request.
	maxUnsolicitedBytes = 1 << 20

	headerRequestID   = "X-Request-Id"
	headerNotExecuted = "X-Not-Executed"
	headerSeal        = "X-Response-Seal"
)

// Request is a request in its encoded form.
type Request struct {
	ID       string
	Method   string
	Bytes    []byte
	Deadline time.Time // deadline of the exchange, in addition to the context's; zero for none
	// Memory is the claim from which memory for long heads is reserved; nil for no limit.
	Memory *memorybudget.Claim
}

// RoundTrip sends the request and reads the head of its response. The response's body reads from the connection. After an error the
// caller must close the lease, and the exchange reports whether the host may have run the request.
func (l *Lease) RoundTrip(request Request) (*http.Response, error) {
	conn := l.ownedConn()
	if !conn.recordRequest(request.ID, request.Method) {
		return nil, errors.Join(ErrNotSent, ErrDuplicateRequestID)
	}
	conn.headMemory = newHeadMemory(request.Memory)
	defer func() { conn.headMemory = headMemory{} }() // an idle connection must not keep the request
	_ = conn.socket.SetDeadline(request.Deadline)
	if err := l.send(conn, request.Bytes); err != nil {
		l.update((*attempt.Exchange).Break)
		return nil, errors.Join(ErrNotSent, err)
	}
	response, err := l.receive(conn, request)
	if err != nil {
		l.update((*attempt.Exchange).Break)
		return nil, err
	}
	l.header = response.Header
	response.Body = &body{lease: l, inner: response.Body}
	return response, nil
}

// send writes a request. The rest of a long request is written in another goroutine. It returns an error only if no byte was written,
// as the host may still respond after any other failure.
func (l *Lease) send(conn *conn, request []byte) error {
	first := request[:min(len(request), inlineWriteBytes)]
	rest := request[len(first):]
	n, err := conn.socket.Write(first)
	if n == 0 && err != nil {
		return err
	}
	if err == nil && len(rest) == 0 {
		l.update(func(exchange *attempt.Exchange) { exchange.Write(attempt.WrittenAll) })
		return nil
	}
	l.update(func(exchange *attempt.Exchange) { exchange.Write(attempt.WrittenSome) })
	if err == nil {
		go l.sendRest(conn, rest)
	}
	return nil
}

// sendRest writes the rest of a long request. Closing the connection ends it. The connection is not reusable before the whole request
// has been written.
func (l *Lease) sendRest(conn *conn, rest []byte) {
	if _, err := conn.socket.Write(rest); err == nil {
		l.update(func(exchange *attempt.Exchange) { exchange.Write(attempt.WrittenAll) })
	}
}

// receive reads the head of the response. It skips interim responses, and unsolicited responses to earlier requests.
func (l *Lease) receive(conn *conn, request Request) (*http.Response, error) {
	httpRequest := &http.Request{Method: request.Method}
	for range maxResponseHeads {
		response, err := conn.readHead(httpRequest)
		if err != nil {
			return nil, err
		}
		if isInterim(response.StatusCode) {
			continue
		}
		switch l.receiveHead(conn.classify(response, request)) {
		case attempt.Accept:
			return response, nil
		case attempt.Skip:
			if err := discardBody(response); err != nil {
				return nil, err
			}
		default:
			return nil, ErrUnexpectedResponse
		}
	}
	return nil, ErrUnexpectedResponse
}

func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

func (l *Lease) receiveHead(head attempt.Head) attempt.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchange.ReceiveHead(head)
}

// discardBody reads and discards the body of an unsolicited response.
func discardBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnsolicitedBytes+1))
	if err == nil && n > maxUnsolicitedBytes {
		return ErrUnexpectedResponse
	}
	return err
}

// body is the body of a response. It can be read until the lease ends.
type body struct {
	lease *Lease
	inner io.ReadCloser
}

// Read reads from the connection and records the progress in the lease's exchange.
func (b *body) Read(p []byte) (int, error) {
	conn := b.lease.ownedConn()
	n, err := b.inner.Read(p)
	b.lease.update(func(exchange *attempt.Exchange) {
		if n > 0 {
			exchange.ReceiveBody()
		}
		switch {
		case err == io.EOF:
			exchange.End()
			if conn.reader.Buffered() > 0 {
				exchange.ReceiveUnsolicited()
			}
		case err != nil:
			exchange.Break()
		}
	})
	return n, err
}

// Close does nothing, as the lease owns the connection.
func (b *body) Close() error { return nil }
