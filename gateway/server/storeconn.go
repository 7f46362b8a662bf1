package server

import (
	"bufio"
	"net"
	"sync"
	"time"

	"otterseam/quotastore/protocol"
)

const (
	storeDialTimeout   = 300 * time.Millisecond
	storeRoundPause    = 100 * time.Millisecond  // after each server was tried once
	storeReadTimeout   = 2500 * time.Millisecond // the server replies to a lease renewal every second, so after this silence it counts as lost
	storeReadBuffer    = 8 << 10
	maxStoreFrameBytes = 1 << 20 // limit for one frame of responses
)

// run dials and serves one connection after another, moving to the next server each time, with a pause after all were tried.
func (s *StoreStream) run(first int) {
	next, failed := first, 0
	for s.ctx.Err() == nil {
		dialer := net.Dialer{Timeout: storeDialTimeout}
		tcp, err := dialer.DialContext(s.ctx, "tcp", s.servers[next])
		s.attempted.Store(true)
		if err == nil && s.serveConn(tcp) {
			failed = 0
		}
		next = (next + 1) % len(s.servers)
		failed++
		if failed < len(s.servers) {
			continue
		}
		failed = 0
		select {
		case <-s.ctx.Done():
		case <-time.After(storeRoundPause):
		}
	}
}

// serveConn uses one connection until it ends, and closes it. It reports whether the server sent anything.
func (s *StoreStream) serveConn(tcp net.Conn) (answered bool) {
	hello, err := protocol.ClientHello().AppendTo(nil)
	if err != nil {
		return false
	}
	s.begin(tcp, hello)
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { s.writeLoop(tcp, done) })
	s.wakeWriter()
	answered = s.readResponses(tcp)
	s.mu.Lock()
	s.connected = false
	s.mu.Unlock()
	close(done)
	interrupt(tcp)
	writer.Wait()
	tcp.Close()
	s.loop.post(s.ctx, s.streamLost)
	return answered
}

func (s *StoreStream) begin(tcp net.Conn, hello []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connected, s.tcp = true, tcp
	s.pending = append(s.pending[:0], hello...)
}

// readResponses posts the server's responses to the event loop until the connection ends.
func (s *StoreStream) readResponses(tcp net.Conn) (answered bool) {
	reader := bufio.NewReaderSize(tcp, storeReadBuffer)
	for {
		setReadTimeout(tcp, storeReadTimeout)
		frame, err := protocol.ReadFrame(reader, maxStoreFrameBytes)
		if err != nil {
			return answered
		}
		answered = true
		for i := range frame.Responses {
			response := &frame.Responses[i]
			s.loop.post(s.ctx, func() { s.handleResponse(response) })
		}
	}
}

func (s *StoreStream) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes the pending frames until done is closed or the connection breaks.
func (s *StoreStream) writeLoop(tcp net.Conn, done chan struct{}) {
	var batch []byte
	for {
		select {
		case <-done:
			return
		case <-s.ctx.Done():
			interrupt(tcp)
			return
		case <-s.wake:
		}
		s.mu.Lock()
		batch, s.pending = s.pending, batch[:0]
		s.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if _, err := tcp.Write(batch); err != nil {
			interrupt(tcp)
			return
		}
	}
}
