package http1

import "errors"

// Sizes in bytes. MaxMessageBytes holds a head and a body of the largest, and a head written anew; SmallBufferBytes holds most
// messages.
const (
	MaxHeadBytes     = 8 << 10
	MaxBodyBytes     = 64 << 10
	MaxMessageBytes  = 80 << 10
	SmallBufferBytes = 4 << 10
)

var (
	// ErrMalformed is returned for what is no message of HTTP/1.0 or 1.1, or can be understood in two ways.
	ErrMalformed = errors.New("malformed message")
	// ErrHeadTooLong is returned for a head, or a trailer, over MaxHeadBytes.
	ErrHeadTooLong = errors.New("head over its limit")
	// ErrBodyTooLong is returned for a body over MaxBodyBytes, or chunks that fill MaxMessageBytes.
	ErrBodyTooLong = errors.New("body over its limit")
)

// Field is one header line. Like all slices here it points into the caller's buffer.
type Field struct{ Name, Value []byte }

// The lengths of a body that are not a number of bytes.
const (
	lengthChunked  = -1
	lengthUntilEnd = -2 // until the sender closes
)

// Message is one request or response on its way in. Bytes are read into Space and announced by Advance until the message is
// complete.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	Body           []byte
	Close          bool // the sender will not use the connection again

	buffer     []byte
	response   bool
	end        int // bytes in buffer
	scanned    int // no end of the head before here
	bodyStart  int // 0: the head is not complete
	bodyLength int // or one of the lengths above
	chunks     chunkDecoder
	restStart  int // where what follows the message begins
}

// Reset makes m ready for a new message in buffer.
func (m *Message) Reset(buffer []byte, response bool) {
	*m = Message{buffer: buffer, response: response, Fields: m.Fields[:0]}
}

// Space is where the next bytes are to be read into. Where it is empty before the message is complete, the message is to be
// moved to a larger buffer.
func (m *Message) Space() []byte { return m.buffer[m.end:] }

// Empty says that nothing of the message has come.
func (m *Message) Empty() bool { return m.end == 0 }

// MoveTo takes what has come to a larger buffer.
func (m *Message) MoveTo(buffer []byte) {
	old := *m
	m.Reset(buffer, old.response)
	m.end = copy(buffer, old.buffer[:old.end])
	m.scanned = old.scanned
	if old.bodyStart == 0 {
		return
	}
	m.scanned = 0
	_, _ = m.parseHead() // it was good before, and points into the new buffer now
	m.chunks = old.chunks
	m.Body = buffer[m.bodyStart : m.bodyStart+len(old.Body)]
}

// Rest is what came after the end of a complete message.
func (m *Message) Rest() []byte { return m.buffer[m.restStart:m.end] }

// Next makes m ready for the message that follows a complete one in the same buffer, and returns how many bytes of it are there.
func (m *Message) Next() int {
	n := copy(m.buffer, m.Rest())
	m.Reset(m.buffer, m.response)
	return n
}

// Advance tells that n more bytes stand in Space, and returns whether the message is complete.
func (m *Message) Advance(n int) (complete bool, err error) {
	m.end += n
	if m.bodyStart == 0 {
		if done, err := m.parseHead(); !done || err != nil {
			return false, err
		}
	}
	switch {
	case m.bodyLength == lengthChunked:
		return m.joinChunks()
	case m.bodyLength == lengthUntilEnd:
		m.Body = m.buffer[m.bodyStart:m.end]
		m.restStart = m.end
		if len(m.Body) > MaxBodyBytes {
			return false, ErrBodyTooLong
		}
		return false, nil
	case m.end-m.bodyStart < m.bodyLength:
		return false, nil
	}
	m.restStart = m.bodyStart + m.bodyLength
	m.Body = m.buffer[m.bodyStart:m.restStart:m.restStart]
	return true, nil
}

// AdvanceRest tells that n more bytes stand in Space, behind a message that is complete.
func (m *Message) AdvanceRest(n int) { m.end += n }

// EndOfInput tells that the sender closed before the message was complete, and returns whether that completes it.
func (m *Message) EndOfInput() bool { return m.bodyStart > 0 && m.bodyLength == lengthUntilEnd }

// joinChunks joins the chunks that have come, and moves what is left of the raw bytes up behind them.
func (m *Message) joinChunks() (complete bool, err error) {
	from := m.bodyStart + len(m.Body)
	written, read, done, err := m.chunks.decode(m.buffer[from:from], m.buffer[from:m.end])
	if err != nil {
		return false, err
	}
	bodyEnd := from + written
	m.Body = m.buffer[m.bodyStart:bodyEnd:bodyEnd]
	if len(m.Body) > MaxBodyBytes {
		return false, ErrBodyTooLong
	}
	m.end = bodyEnd + copy(m.buffer[bodyEnd:], m.buffer[from+read:m.end])
	m.restStart = bodyEnd
	if !done && m.end >= MaxMessageBytes {
		return false, ErrBodyTooLong
	}
	return done, nil
}

// ParseStreamHead parses the head of a response whose body has no end. size is the bytes of the head, 0 while it is not
// complete.
func ParseStreamHead(b []byte) (status int, chunked bool, size int, err error) {
	var m Message
	m.Reset(b, true)
	m.end = len(b)
	if m.end == 0 {
		return 0, false, 0, nil
	}
	done, err := m.parseHead()
	if !done || err != nil {
		return 0, false, 0, err
	}
	return m.Status, m.bodyLength == lengthChunked, m.bodyStart, nil
}
