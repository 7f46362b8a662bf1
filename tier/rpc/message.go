package rpc

import "otterseam/tier/codes"

// Message is a call or a one-way message that arrived.
type Message struct {
	Kind    Kind
	Payload []byte // of the receiver's own
	Conn    *Conn
	id      uint64 // of the call; 0 for a one-way message
}

// IsCall tells whether the sender waits for an answer.
func (m Message) IsCall() bool { return m.id != 0 }

// Answer sends the result of a call, at most once. On a one-way message it does nothing.
func (m Message) Answer(code codes.Code, payload []byte) {
	if m.id != 0 {
		m.Conn.send(header{Kind: kindAnswer, Code: uint16(code), ID: m.id}, payload)
	}
}

// Handler takes a message. It is called by the connection's reader, one message after the other; work that waits belongs
// into a goroutine of its own.
type Handler func(Message)
