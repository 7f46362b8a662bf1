package server

import (
	"bufio"
	"net"
	"time"

	"otterseam/quotastore/protocol"
)

const (
	responseQueue        = 1024 // frames queued for one client; a client that exceeds it is disconnected
	responseBuffer       = 16 << 10
	responseWriteTimeout = 5 * time.Second
)

// clientSession is the connection of a gateway or an operator's command. Each response is sent as soon as it is available, so
// responses may be in a different order than their requests.
type clientSession struct {
	transport *transport
	conn      net.Conn
	responses chan *protocol.Frame
	ended     chan struct{} // closed when the client's stream has ended; stops runWriter
}

// serveClient reads and handles a client's requests until its stream ends.
func (t *transport) serveClient(conn net.Conn, r *bufio.Reader) {
	c := &clientSession{
		transport: t,
		conn:      conn,
		responses: make(chan *protocol.Frame, responseQueue),
		ended:     make(chan struct{}),
	}
	defer close(c.ended)
	t.group.Go(c.runWriter)
	for {
		frame, err := t.readClientFrame(conn, r)
		if err != nil {
			return
		}
		if !t.server.enqueue(func() { c.handle(frame) }) {
			return
		}
	}
}

// handle passes a frame's requests, or its command, to the node. It runs in the event loop.
func (c *clientSession) handle(frame *protocol.Frame) {
	s := c.transport.server
	if frame.Admin != nil {
		s.handleAdmin(frame.Admin, func(answer *protocol.Admin) { c.respond(protocol.AdminFrame(answer)) })
		return
	}
	for _, request := range frame.Requests {
		s.node.HandleClient(s.now(), request, func(response protocol.Response) {
			c.respond(protocol.ResponsesFrame([]protocol.Response{response}))
		})
	}
}

// respond queues a frame for the client. It runs in the event loop, which must not block, so it disconnects a client whose queue
// is full.
func (c *clientSession) respond(frame *protocol.Frame) {
	select {
	case c.responses <- frame:
	default:
		c.transport.conns.close(c.conn)
	}
}

// runWriter writes responses until the client's stream has ended, or a write fails.
func (c *clientSession) runWriter() error {
	w := bufio.NewWriterSize(c.conn, responseBuffer)
	for {
		select {
		case <-c.ended:
			return nil
		case frame := <-c.responses:
			if c.writeQueued(w, frame) != nil {
				c.transport.conns.close(c.conn)
				return nil
			}
		}
	}
}

// writeQueued writes a frame and all frames that are queued after it. bufio.Writer keeps the error of a write, and Flush returns
// it.
func (c *clientSession) writeQueued(w *bufio.Writer, frame *protocol.Frame) error {
	for {
		encoded, err := frame.AppendTo(nil)
		if err != nil {
			encoded, _ = protocol.AdminFrame(&protocol.Admin{Failure: err.Error()}).AppendTo(nil)
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
		_, _ = w.Write(encoded)
		select {
		case frame = <-c.responses:
		default:
			return w.Flush()
		}
	}
}
