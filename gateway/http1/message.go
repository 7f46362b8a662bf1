package http1

import "errors"

// Size limits in bytes. MaxMessageBytes is enough for a head and a body of maximum size, plus a rewritten head. SmallBufferBytes
// is enough for most messages.
const (
	MaxHeadBytes     = 8 << 10
	MaxBodyBytes     = 64 << 10
	MaxMessageBytes  = 80 << 10
	SmallBufferBytes = 4 << 10
)

var (
	// ErrMalformed is returned for input that is not a valid HTTP/1.0 or HTTP/1.1 message or has an ambiguous length.
	ErrMalformed = errors.New("malformed message")
	// ErrHeadTooLong is returned for a head or a trailer longer than MaxHeadBytes.
	ErrHeadTooLong = errors.New("head exceeds the size limit")
	// ErrBodyTooLong is returned for a body longer than MaxBodyBytes, and for chunks that fill MaxMessageBytes.
	ErrBodyTooLong = errors.New("body exceeds the size limit")
)

// Field is one header field. Like all slices of a Message, it points into the caller's buffer.
type Field struct{ Name, Value []byte }

// fieldOffsets locates a field in the head, whose maximum size its offsets can represent. A head of many short lines thus takes about as
// much memory again as it has bytes, and not many times as much.
type fieldOffsets struct{ nameStart, nameEnd, valueStart, valueEnd uint16 }

// maxKeptFields is the number of fields for which a message keeps memory when it is reset.
const maxKeptFields = 64

// Special values of Message.bodyLength.
const (
	lengthChunked    = -1
	lengthUntilClose = -2 // the body ends when the sender closes the connection
)

// Message is an incremental parser of one incoming request or response. The caller reads bytes into Space and calls Advance,
// until the message is complete.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Body           []byte
	Close          bool // the sender will not reuse the connection

	fields     []fieldOffsets
	buffer     []byte
	response   bool
	end        int // number of bytes in buffer
	scanned    int // offset up to which buffer holds no end of the head
	bodyStart  int // offset of the body, or 0 while the head is incomplete
	bodyLength int // number of bytes, lengthChunked or lengthUntilClose
	chunks     chunkDecoder
	restStart  int // offset of the bytes that follow the message
}

// Reset prepares m for a new message in buffer.
func (m *Message) Reset(buffer []byte, response bool) {
	fields := m.fields[:0]
	if cap(fields) > maxKeptFields {
		fields = nil
	}
	*m = Message{buffer: buffer, response: response, fields: fields}
}

// FieldCount returns the number of header fields.
func (m *Message) FieldCount() int { return len(m.fields) }

// Field returns a header field by its index.
func (m *Message) Field(i int) Field {
	f := m.fields[i]
	return Field{Name: m.buffer[f.nameStart:f.nameEnd:f.nameEnd], Value: m.buffer[f.valueStart:f.valueEnd:f.valueEnd]}
}

// Space returns the free part of the buffer, into which the caller reads the next bytes. If it is empty before the message is
// complete, the caller must move the message to a larger buffer.
func (m *Message) Space() []byte { return m.buffer[m.end:] }

// Empty reports whether no byte of the message has been received.
func (m *Message) Empty() bool { return m.end == 0 }

// MoveTo moves the bytes received so far to a larger buffer.
func (m *Message) MoveTo(buffer []byte) {
	old := *m
	m.Reset(buffer, old.response)
	m.end = copy(buffer, old.buffer[:old.end])
	m.scanned = old.scanned
	if old.bodyStart == 0 {
		return
	}
	m.scanned = 0
	_, _ = m.parseHead() // makes the slices point into the new buffer; can't fail, because the same head was parsed before
	m.chunks = old.chunks
	m.Body = buffer[m.bodyStart : m.bodyStart+len(old.Body)]
}

// Rest returns the bytes received after the end of a complete message.
func (m *Message) Rest() []byte { return m.buffer[m.restStart:m.end] }

// Next prepares m for the message that follows a complete one in the same buffer, and returns the number of its bytes already
// received.
func (m *Message) Next() int {
	n := copy(m.buffer, m.Rest())
	m.Reset(m.buffer, m.response)
	return n
}

// Advance parses n more bytes, which the caller has read into Space, and reports whether the message is complete.
func (m *Message) Advance(n int) (complete bool, err error) {
	m.end += n
	if m.bodyStart == 0 {
		if done, err := m.parseHead(); !done || err != nil {
			return false, err
		}
	}
	switch {
	case m.bodyLength == lengthChunked:
		return m.decodeChunks()
	case m.bodyLength == lengthUntilClose:
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

// AdvanceRest accounts for n more bytes that the caller has read into Space after a complete message.
func (m *Message) AdvanceRest(n int) { m.end += n }

// EndOfInput must be called if the sender closes the connection before the message is complete. It reports whether the close
// completes the message.
func (m *Message) EndOfInput() bool { return m.bodyStart > 0 && m.bodyLength == lengthUntilClose }

// decodeChunks decodes the chunks received so far in place, and moves the remaining raw bytes up to the end of the decoded body.
func (m *Message) decodeChunks() (complete bool, err error) {
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

// ParseStreamHead parses the head of a response whose body is a stream. size is the length of the head in bytes, or 0 while the
// head is incomplete.
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
