package sockets

// This file owns stand-ins that answer by a script, for tests: one that says given bytes to each request it gets.

import (
	"io"
	"net"
	"strings"
	"sync"

	"otterseam/gateway/http1"
)

// Script is a listener on loopback that answers each request with the text that its script gives. "" leaves it
// unanswered; a text that ends in "!" is sent without that sign and the connection closed.
type Script struct {
	net.Listener
	Seen  chan string // heads and bodies as they came
	Ended chan bool   // one for each connection that has ended

	mu    sync.Mutex
	conns []net.Conn
	n     int
}

// NewScript listens; say gets each request and its number, from 1.
func NewScript(say func(m *http1.Message, n int) string) (*Script, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Script{Listener: l, Seen: make(chan string, 100), Ended: make(chan bool, 100)}
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

func (s *Script) serve(tcp net.Conn, say func(m *http1.Message, n int) string) {
	defer func() {
		tcp.Close()
		select {
		case s.Ended <- true:
		default: // nobody looks
		}
	}()
	Messages(tcp, false, func(m *http1.Message) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case s.Seen <- string(m.Method) + " " + string(m.Target) + " " + string(m.Body):
		default: // nobody looks
		}
		s.n++
		text := say(m, s.n)
		io.WriteString(tcp, strings.TrimSuffix(text, "!"))
		return !strings.HasSuffix(text, "!")
	})
}

// End closes the listener and all connections.
func (s *Script) End() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}
