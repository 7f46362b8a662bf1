package httpguard

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"otterseam/tier/memorybudget"
)

const (
	firstBodyBytes = 4 << 10  // first buffer of a body of unknown length
	maxFirstBytes  = 64 << 10 // first buffer of a body of known length
	// reservePatience is how long a request waits for memory that others give back.
	reservePatience = 500 * time.Millisecond
)

// ErrOverloaded is returned if there is no memory for a request, or it had to yield to others. It has not been read completely.
var ErrOverloaded = errors.New("no memory for the request")

// BodyLimits limit the body of a request.
type BodyLimits struct {
	MaxBytes int64
	Deadline time.Time // until which it has to be complete
	// Copies is how many copies of a complete body its handler holds at the same time.
	Copies int64
}

// ReadBody reads the body of a request within the memory of its guard, which it reserves as the body arrives, and within the limits. The
// error may be an *http.MaxBytesError, ErrOverloaded, os.ErrDeadlineExceeded or another one of the connection. The memory stays reserved
// until the request ends.
func ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) ([]byte, error) {
	reader := bodyReader{limits: limits, claim: claimOf(r)}
	if r.ContentLength > limits.MaxBytes {
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limits.MaxBytes}
	}
	if r.ContentLength != 0 {
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(limits.Deadline)
		if err := reader.read(http.MaxBytesReader(w, r.Body, limits.MaxBytes), r.ContentLength); err != nil {
			return nil, reader.fail(err)
		}
		_ = controller.SetReadDeadline(time.Time{})
	}
	if reader.claim.Received() != nil {
		return nil, ErrOverloaded
	}
	if copies := int64(len(reader.body)) * (limits.Copies - 1); copies > 0 && reader.claim.Await(copies, patienceUntil(limits.Deadline)) != nil {
		return nil, ErrOverloaded
	}
	return reader.body, nil
}

// Reserve reserves further memory for the request of a context until the request ends. It returns ErrOverloaded if there is none.
func Reserve(ctx context.Context, bytes int64) error {
	deadline, _ := ctx.Deadline()
	return reserveFor(ctx, bytes, patienceUntil(deadline))
}

// TryReserve is like Reserve but doesn't wait for memory that others give back. It is for callers that already hold what they reserve.
func TryReserve(ctx context.Context, bytes int64) error { return reserveFor(ctx, bytes, 0) }

// reserveFor reserves memory for the request of a context.
func reserveFor(ctx context.Context, bytes int64, patience time.Duration) error {
	if conn := connOf(ctx); conn != nil && conn.claim.Await(bytes, patience) != nil {
		return ErrOverloaded
	}
	return nil
}

// claimOf returns the claim of a request. It opens the claim of a request whose head was read together with the previous one.
func claimOf(r *http.Request) *memorybudget.Claim {
	conn := connOf(r.Context())
	if conn == nil {
		return &memorybudget.Claim{}
	}
	if conn.openClaim() {
		scanner := headScanner{lines: len(r.Header)}
		for name, values := range r.Header {
			for _, value := range values {
				scanner.lines++
				scanner.bytes += len(name) + len(value)
			}
		}
		_, _ = conn.claim.Reserve(scanner.cost(), time.Now()) // at most what is buffered of a connection
	}
	return &conn.claim
}

// bodyReader reads a body into a buffer that grows with it.
type bodyReader struct {
	limits BodyLimits
	claim  *memorybudget.Claim
	body   []byte
}

// read reads until the end of the body. length is its length, or negative if that is unknown.
func (b *bodyReader) read(source io.Reader, length int64) error {
	first := int64(firstBodyBytes)
	if length > 0 {
		first = min(length, maxFirstBytes)
	}
	if err := b.grow(first); err != nil {
		return err
	}
	for {
		if len(b.body) == cap(b.body) {
			if done, err := b.growUnlessComplete(source, length); done || err != nil {
				return err
			}
		}
		n, err := source.Read(b.body[len(b.body):cap(b.body)])
		b.body = b.body[:len(b.body)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// growUnlessComplete enlarges a full buffer, unless the body ends here.
func (b *bodyReader) growUnlessComplete(source io.Reader, length int64) (complete bool, err error) {
	var next [1]byte
	n, err := io.ReadFull(source, next[:])
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	size := 2 * int64(cap(b.body))
	if length > 0 {
		size = min(size, length)
	}
	if err := b.grow(size); err != nil {
		return false, err
	}
	b.body = append(b.body, next[:n]...)
	return false, nil
}

// grow moves the body to a buffer of a larger size, whose memory it reserves.
func (b *bodyReader) grow(size int64) error {
	if err := b.claim.Await(size-int64(cap(b.body)), patienceUntil(b.limits.Deadline)); err != nil {
		return err
	}
	body := make([]byte, len(b.body), size)
	copy(body, b.body)
	b.body = body
	return nil
}

// fail drops the body and returns the error of its request, which is ErrOverloaded if it had to yield or got no memory.
func (b *bodyReader) fail(err error) error {
	held := int64(cap(b.body))
	b.body = nil
	defer b.claim.Release(held)
	if b.claim.Evicted() || errors.Is(err, memorybudget.ErrSpent) || errors.Is(err, memorybudget.ErrEvicted) {
		return ErrOverloaded
	}
	return err
}

// patienceUntil returns how long a request with a deadline waits for memory. The zero time means that it has none.
func patienceUntil(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return reservePatience
	}
	return min(reservePatience, time.Until(deadline))
}
