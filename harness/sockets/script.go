package sockets

// This file owns stand-ins that answer by a script, for tests: one that says given bytes to each request it gets.

import (
	"io"
	"net"
	"strings"
	"sync"

	"otterseam/gateway/http1"
)

// ScriptedServer is a listener on loopback that answers each request with the text that its script gives. "" leaves it
// unanswered; a text that ends in "!" is sent without that sign and the connection closed.
type ScriptedServer struct {
	net.Listener
	Requests  chan string // heads and bodies as they came
	Disconnects chan bool   // one for each connection that has ended

	mu    sync.Mutex
	conns []net.Conn
	n     int
}

// NewScriptedServer listens; say gets each request and its number, from 1.
func NewScriptedServer(say func(m *http1.Message, n int) string) (*ScriptedServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &ScriptedServer{Listener: l, Requests: make(chan string, 100), Disconnects: make(chan bool, 100)}
	go func() {
		for {
			tcp, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, tcp)
			s.mu.Unlock()
			go s.serve(tcp, say)
		}
	}()
	return s, nil
}

func (s *ScriptedServer) serve(tcp net.Conn, say func(m *http1.Message, n int) string) {
	defer func() {
		tcp.Close()
		select {
		case s.Disconnects <- true:
		default: // nobody looks
		}
	}()
	ReadMessages(tcp, false, func(m *http1.Message) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case s.Requests <- string(m.Method) + " " + string(m.Target) + " " + string(m.Body):
		default: // nobody looks
		}
		s.n++
		text := say(m, s.n)
		io.WriteString(tcp, strings.TrimSuffix(text, "!"))
		return !strings.HasSuffix(text, "!")
	})
}

// CloseAll closes the listener and all connections.
func (s *ScriptedServer) CloseAll() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}
