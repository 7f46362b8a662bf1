package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"otterseam/tier/memorybudget"
	"otterseam/tier/upstream"
)

const (
	// maxResponseBytes is the maximum size of a response body other than an event stream.
	maxResponseBytes = 64 << 20
	// maxHeldBytes is how much of a body is read before it is forwarded. A longer one is forwarded as it arrives.
	maxHeldBytes = 1 << 20
	// maxFirstBytes is the largest first buffer of a body whose length is known, and firstBodyBytes that of another one.
	maxFirstBytes  = 64 << 10
	firstBodyBytes = 4 << 10
	// forwardBytes is the size of the buffer of a body that is forwarded as it arrives.
	forwardBytes = 32 << 10

	// maxDiscardedBytes and discardTimeout limit what is read of a body that nobody wants, so that its connection can be reused.
	maxDiscardedBytes = 16 << 10
	discardTimeout    = 100 * time.Millisecond
)

// hostResponse is a host's response of which the head was read. Its lease has to be released or closed.
type hostResponse struct {
	*http.Response
	host   *upstreamHost
	lease  *upstream.Lease
	memory *responseMemory
	sentAt time.Time
}

// isTooLong reports whether the response announces a body that is too long.
func (h *hostResponse) isTooLong() bool {
	return h.Request.Method != http.MethodHead && h.ContentLength > maxResponseBytes
}

// hold reads the body until its end, or as far as it may be held. It ends the lease if the body is complete.
func (h *hostResponse) hold() (body []byte, complete bool, err error) {
	if !h.grow(&body, h.firstBytes()) {
		return nil, false, nil
	}
	for {
		if len(body) == cap(body) && !h.grow(&body, min(2*cap(body), maxHeldBytes)) {
			if h.memory.hasYielded() {
				h.lease.Close()
				return nil, false, memorybudget.ErrEvicted
			}
			return body, false, nil
		}
		n, err := h.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			h.lease.Release()
			return body, true, nil
		case err != nil:
			h.lease.Close()
			return nil, false, err
		}
	}
}

// firstBytes returns the size of the first buffer of the body.
func (h *hostResponse) firstBytes() int {
	if h.ContentLength > 0 {
		return int(min(h.ContentLength, maxFirstBytes))
	}
	return firstBodyBytes
}

// grow moves a body to a buffer of a larger size. It returns false if there is no memory for it, or the buffer can't be larger.
func (h *hostResponse) grow(body *[]byte, size int) bool {
	previous := cap(*body)
	if size <= previous || !h.memory.tryReserve(int64(size)) {
		return false
	}
	larger := make([]byte, len(*body), size)
	copy(larger, *body)
	*body = larger
	h.memory.release(int64(previous))
	return true
}

// forwardRest writes the held part of a body and then the rest as it arrives. It ends the lease. The error is that of the host, which may
// be errResponseTooLarge, or a *clientError.
func (h *hostResponse) forwardRest(w http.ResponseWriter, held []byte) error {
	h.lease.ClearDeadline() // no other host can serve the request from here on
	err := h.copyRest(w, held)
	if err != nil {
		h.lease.Close()
		return err
	}
	h.lease.Release()
	return nil
}

func (h *hostResponse) copyRest(w http.ResponseWriter, held []byte) error {
	buffer, err := h.writeHeld(w, held)
	if err != nil {
		return err
	}
	for total := len(held); ; {
		n, readErr := h.Body.Read(buffer)
		if total += n; total > maxResponseBytes {
			return errResponseTooLarge
		}
		if err := h.write(w, buffer[:n]); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// writeHeld writes the held part of a body. It returns a buffer for the rest, which takes the place of the held part.
func (h *hostResponse) writeHeld(w http.ResponseWriter, held []byte) (buffer []byte, err error) {
	if err := h.write(w, held); err != nil {
		return nil, err
	}
	size := cap(held)
	if size == 0 {
		size = firstBodyBytes // there was no memory for more
	}
	if size <= forwardBytes {
		return make([]byte, size), nil
	}
	h.memory.release(int64(size - forwardBytes))
	return make([]byte, forwardBytes), nil
}

func (h *hostResponse) write(w http.ResponseWriter, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	err := h.memory.writing(w, func() error {
		_, err := w.Write(data)
		return err
	})
	if err != nil && !errors.Is(err, memorybudget.ErrEvicted) {
		return &clientError{err}
	}
	return err
}

// clientError is the error of a response that its client doesn't read.
type clientError struct{ cause error }

// Error returns the text of the cause.
func (e *clientError) Error() string { return "writing to the client: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *clientError) Unwrap() error { return e.cause }

// discard reads and drops a body that nobody wants, so that the connection can be reused, and ends the lease. It reports whether the body is
// short. The connection is closed if it isn't, or if the body doesn't arrive at once.
func (h *hostResponse) discard() (isShort bool) {
	if h.ContentLength > maxDiscardedBytes {
		h.lease.Close()
		return false
	}
	h.lease.SetDeadline(time.Now().Add(discardTimeout))
	n, err := io.CopyN(io.Discard, h.Body, maxDiscardedBytes+1)
	if errors.Is(err, io.EOF) {
		h.lease.Release()
		return true
	}
	h.lease.Close()
	return n <= maxDiscardedBytes
}
