package rpc

import "otterseam/tier/codes"

// Message is a received call or one-way message.
type Message struct {
	Kind    Kind
	Payload []byte // owned by the receiver
	Conn    *Conn
	id      uint64 // ID of the call; 0 for a one-way message
}

// IsCall reports whether the message is a call, whose sender waits for an answer.
func (m Message) IsCall() bool { return m.id != 0 }

// Answer sends the answer to a call. It must be called at most once per call. For a one-way message it does nothing.
func (m Message) Answer(code codes.Code, payload []byte) {
	if m.id != 0 {
		m.Conn.send(header{Kind: kindAnswer, Code: uint16(code), ID: m.id}, payload)
	}
}

// Handler handles a message. The goroutine that reads the connection calls it for one message at a time, so a handler that blocks must
// do so in a goroutine of its own.
type Handler func(Message)
