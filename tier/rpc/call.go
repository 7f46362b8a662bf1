package rpc

import (
	"context"
	"time"

	"otterseam/tier/codes"
)

// unresponsiveTimeout is how long a connection on which an answer is due may bring nothing at all before it is given up. A machine
// that lost power says nothing, and what is sent to it meanwhile is sent again ever more rarely, so that the connection would be
// useless for a while also after the machine is back.
const unresponsiveTimeout = 400 * time.Millisecond

// answer is what came back for a call.
type answer struct {
	code    codes.Code
	payload []byte
}

// Call sends a call and waits for its answer. A code other than OK is returned as the error.
func (c *Conn) Call(ctx context.Context, kind Kind, payload []byte) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, codes.Timeout // nothing is sent for a caller that has gone
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
		if got.code != codes.OK {
			return got.payload, got.code
		}
		return got.payload, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
		if isUnresponsive(sentAt, time.Since(c.openedAt), time.Duration(c.lastReadAt.Load())) {
			c.Close()
		}
		return nil, codes.Timeout
	}
}

// isUnresponsive tells whether a connection has brought nothing since a call was sent that has waited for long. Times count from the
// opening of the connection.
func isUnresponsive(sentAt, now, lastReadAt time.Duration) bool {
	return lastReadAt < sentAt && now-sentAt >= unresponsiveTimeout
}
