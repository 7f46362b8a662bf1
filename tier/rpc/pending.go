package rpc

const (
	// maxPendingMessages and maxPendingBytes bound what waits for a connection that is being opened.
	maxPendingMessages = 256
	maxPendingBytes    = 1 << 20
)

type pendingMessage struct {
	kind    Kind
	payload []byte
}

// pendingMessages are one-way messages that wait for a connection, in order. They wait for one dial at most.
type pendingMessages struct {
	messages []pendingMessage
	bytes    int
}

// add holds a message if there is room.
func (p *pendingMessages) add(kind Kind, payload []byte) {
	if len(p.messages) >= maxPendingMessages || p.bytes+len(payload) > maxPendingBytes {
		return
	}
	p.messages = append(p.messages, pendingMessage{kind, payload})
	p.bytes += len(payload)
}

// sendOver sends all that is held.
func (p *pendingMessages) sendOver(conn *Conn) {
	for _, message := range p.messages {
		conn.Send(message.kind, message.payload)
	}
}

// clear forgets what is held.
func (p *pendingMessages) clear() { *p = pendingMessages{} }
