package sockets

import (
	"io"
	"net"
	"strings"
	"sync"

	"otterseam/gateway/http1"
)

// observedEvents is the buffer size of the channels Requests and Disconnects of a ScriptedServer.
const observedEvents = 100

// ScriptedServer is a server on loopback that answers each request with bytes chosen by a test.
type ScriptedServer struct {
	net.Listener
	Requests    chan string // method, target and body of each request; dropped if the buffer is full
	Disconnects chan bool   // one value for each closed connection; dropped if the buffer is full

	mu    sync.Mutex // guards all below
	conns []net.Conn
	count int
}

// NewScriptedServer starts a server. respond is called with each request and its number, starting at 1, and returns the bytes to send. If they
// end in "!", they are sent without it and the connection is closed. For "" nothing is sent.
func NewScriptedServer(respond func(m *http1.Message, number int) string) (*ScriptedServer, error) {
	s := &ScriptedServer{Requests: make(chan string, observedEvents), Disconnects: make(chan bool, observedEvents)}
	var err error
	s.Listener, err = listen("127.0.0.1:0", func(tcp net.Conn) {
		s.mu.Lock()
		s.conns = append(s.conns, tcp)
		s.mu.Unlock()
		s.serve(tcp, respond)
	})
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (s *ScriptedServer) serve(tcp net.Conn, respond func(m *http1.Message, number int) string) {
	defer func() {
		tcp.Close()
		select {
		case s.Disconnects <- true:
		default: // the buffer is full
		}
	}()
	_ = ReadMessages(tcp, false, func(m *http1.Message) bool { // an error ends the connection, which Disconnects reports
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case s.Requests <- string(m.Method) + " " + string(m.Target) + " " + string(m.Body):
		default: // the buffer is full
		}
		s.count++
		text, last := strings.CutSuffix(respond(m, s.count), "!")
		_, _ = io.WriteString(tcp, text) // if the client has disconnected, the next read fails
		return !last
	})
}

// CloseAll closes the listener and all connections.
func (s *ScriptedServer) CloseAll() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
}
