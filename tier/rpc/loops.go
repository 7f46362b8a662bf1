package rpc

import (
	"bufio"
	"time"

	"otterseam/tier/codes"
)

const readBufferBytes = 16 << 10

// writeLoop writes the queued frames until the connection ends. It alternates between two buffers, so that frames can be queued during a
// write.
func (c *Conn) writeLoop() {
	var spare []byte
	for {
		c.mu.Lock()
		c.writing = 0
		c.mu.Unlock()
		select {
		case <-c.wake:
		case <-c.closed:
			return
		}
		c.mu.Lock()
		batch := c.queue
		c.queue = spare[:0]
		c.writing = len(batch)
		c.mu.Unlock()
		if len(batch) == 0 {
			spare = batch
			continue
		}
		if _, err := c.socket.Write(batch); err != nil {
			c.Close()
			return
		}
		if cap(batch) > payloadStep {
			batch = nil // release the memory of large frames
		}
		spare = batch
	}
}

// readLoop reads and handles frames until the connection ends.
func (c *Conn) readLoop() {
	defer c.Close()
	reader := bufio.NewReaderSize(c.socket, readBufferBytes)
	for c.readMessage(reader) == nil {
	}
}

// readMessage reads and handles one frame.
func (c *Conn) readMessage(reader *bufio.Reader) error {
	h, err := readHeader(reader)
	if err != nil {
		return err
	}
	release, err := c.acquireFrame(h)
	if err != nil {
		return err
	}
	payload, err := c.readPayload(reader, h)
	if err != nil {
		release()
		return err
	}
	c.lastReadAt.Store(int64(time.Since(c.openedAt)))
	if h.Kind == kindAnswer {
		c.deliver(h, payload, release)
		return nil
	}
	defer release()
	c.handler(Message{Kind: h.Kind, Payload: payload, Conn: c, id: h.ID})
	return nil
}

// readPayload reads the payload of a frame, within largeFrameTimeout if others may wait for it.
func (c *Conn) readPayload(reader *bufio.Reader, h header) ([]byte, error) {
	if c.isLimited(h) {
		_ = c.socket.SetReadDeadline(time.Now().Add(largeFrameTimeout))
		defer func() { _ = c.socket.SetReadDeadline(time.Time{}) }()
	}
	return readPayload(reader, int(h.Length))
}

// deliver passes an answer to its pending call, which releases it. It drops the answer if there is none.
func (c *Conn) deliver(h header, payload []byte, release func()) {
	c.mu.Lock()
	channel := c.pending[h.ID]
	delete(c.pending, h.ID)
	c.mu.Unlock()
	if channel != nil {
		channel <- answer{code: codes.Code(h.Code), payload: payload, release: release}
	} else {
		release()
	}
}
