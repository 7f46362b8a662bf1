package rpc

const (
	// mostHeld and mostHeldBytes bound what waits for a connection that is being opened.
	mostHeld      = 256
	mostHeldBytes = 1 << 20
)

type heldMessage struct {
	kind    Kind
	payload []byte
}

// heldMessages are one-way messages that wait for a connection, in order. They wait for one dial at most.
type heldMessages struct {
	messages []heldMessage
	bytes    int
}

// add holds a message if there is room.
func (h *heldMessages) add(kind Kind, payload []byte) {
	if len(h.messages) >= mostHeld || h.bytes+len(payload) > mostHeldBytes {
		return
	}
	h.messages = append(h.messages, heldMessage{kind, payload})
	h.bytes += len(payload)
}

// sendOver sends all that is held.
func (h *heldMessages) sendOver(conn *Conn) {
	for _, message := range h.messages {
		conn.Send(message.kind, message.payload)
	}
}

// clear forgets what is held.
func (h *heldMessages) clear() { *h = heldMessages{} }
