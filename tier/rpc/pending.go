package rpc

const (
	// maxPendingMessages and maxPendingBytes limit the messages that wait for a connection that is being opened.
	maxPendingMessages = 256
	maxPendingBytes    = 1 << 20
)

type pendingMessage struct {
	kind    Kind
	payload []byte
}

// pendingMessages are one-way messages that wait for a connection, in order. They are kept until the next dial ends.
type pendingMessages struct {
	messages []pendingMessage
	bytes    int
}

// add keeps a message. It drops the message if a limit would be exceeded.
func (p *pendingMessages) add(kind Kind, payload []byte) {
	if len(p.messages) >= maxPendingMessages || p.bytes+len(payload) > maxPendingBytes {
		return
	}
	p.messages = append(p.messages, pendingMessage{kind, payload})
	p.bytes += len(payload)
}

// sendOver sends all messages over a connection.
func (p *pendingMessages) sendOver(conn *Conn) {
	for _, message := range p.messages {
		conn.Send(message.kind, message.payload)
	}
}

// clear removes all messages.
func (p *pendingMessages) clear() { *p = pendingMessages{} }
