package rpc

import (
	"context"
	"time"

	"otterseam/tier/codes"
)

// unresponsiveTimeout is how long a connection with a pending call may receive nothing before it is closed. The peer machine may have
// lost power, in which case it sends no reset. TCP retransmits unacknowledged data at growing intervals, so the connection would stay
// unusable for a while after the machine is back.
const unresponsiveTimeout = 400 * time.Millisecond

// answer is the result of a call.
type answer struct {
	code    codes.Code
	payload []byte
	release func() // releases the frame from its budget
}

// Call sends a call and waits for its answer. A code other than OK is returned as the error.
func (c *Conn) Call(ctx context.Context, kind Kind, payload []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, codes.Timeout // the caller no longer waits, so nothing is sent
	}
	channel := make(chan answer, 1)
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return nil, codes.LinkBroken
	}
	c.lastID++
	id := c.lastID
	c.pending[id] = channel
	c.mu.Unlock()
	sentAt := time.Since(c.openedAt)
	c.send(header{Kind: kind, ID: id}, payload)
	select {
	case got := <-channel:
		got.release()
		if got.code != codes.OK {
			return got.payload, got.code
		}
		return got.payload, nil
	case <-ctx.Done():
		c.abandon(id, channel)
		if isUnresponsive(sentAt, time.Since(c.openedAt), time.Duration(c.lastReadAt.Load())) {
			c.Close()
		}
		return nil, codes.Timeout
	}
}

// abandon drops the answer to a call that no longer waits, also one that is being delivered.
func (c *Conn) abandon(id uint64, channel <-chan answer) {
	c.mu.Lock()
	_, pending := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if !pending {
		got := <-channel // deliver or Close has taken it and sends without blocking
		got.release()
	}
}

// isUnresponsive reports whether a call has been pending for at least unresponsiveTimeout and the connection has received nothing since
// it was sent. Times are relative to the opening of the connection.
func isUnresponsive(sentAt, now, lastReadAt time.Duration) bool {
	return lastReadAt < sentAt && now-sentAt >= unresponsiveTimeout
}
