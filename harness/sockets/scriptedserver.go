package sockets

import (
	"io"
	"net"
	"strings"
	"sync"

	"otterseam/gateway/http1"
)

// observedEvents is how many requests or disconnects a ScriptedServer keeps for whoever looks.
const observedEvents = 100

// ScriptedServer is a listener on loopback that answers each request with the bytes that a test gives.
type ScriptedServer struct {
	net.Listener
	Requests    chan string // method, target and body of each; those past the buffer are dropped
	Disconnects chan bool   // one for each connection that has ended, likewise

	mu    sync.Mutex // guards all below
	conns []net.Conn
	count int
}

// NewScriptedServer listens. respond gets each request and its number, from 1. Where it returns "" nothing is sent; a text that ends in
// "!" is sent without that sign and the connection closed.
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
		default: // nobody looks
		}
	}()
	_ = ReadMessages(tcp, false, func(m *http1.Message) bool { // ends with the connection, which Disconnects tells
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case s.Requests <- string(m.Method) + " " + string(m.Target) + " " + string(m.Body):
		default: // nobody looks
		}
		s.count++
		text, last := strings.CutSuffix(respond(m, s.count), "!")
		_, _ = io.WriteString(tcp, text) // a client that has gone is found by the next read
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
