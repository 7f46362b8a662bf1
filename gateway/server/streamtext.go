package server

import (
	"bytes"
	"io"
	"net"

	"otterseam/gateway/http1"
)

const (
	maxMessageBytes   = 4 << 20 // of one message of discovery
	streamBufferBytes = 2 * http1.MaxHeadBytes
)

// streamText reads the text of a watch, however it is cut into chunks: messages, and empty lines between them. It belongs to the
// goroutine that reads the stream.
type streamText struct {
	tcp         net.Conn
	onBlankLine func() error // told of an empty line between messages

	buffer   []byte // as it came
	buffered int    // bytes in buffer
	headRead bool
	chunks   http1.ChunkedStream

	textBuffer   []byte // for unread
	unread       []byte // text that Read has not given yet
	messageBytes int    // of the message that has begun and was not taken; 0: none has begun
	err          error  // what ended the text
}

func newStreamText(tcp net.Conn, onBlankLine func() error) *streamText {
	return &streamText{
		tcp:         tcp,
		onBlankLine: onBlankLine,
		buffer:      make([]byte, streamBufferBytes),
		textBuffer:  make([]byte, 0, streamBufferBytes),
	}
}

// Read gives text as it comes (io.Reader).
func (s *streamText) Read(p []byte) (n int, err error) {
	for len(s.unread) == 0 && s.err == nil {
		s.err = s.fill()
	}
	n = copy(p, s.unread)
	if n > 0 {
		s.unread = s.unread[n:]
		s.scan(p[:n])
	}
	return n, s.err
}

// scan looks for an empty line, which counts between messages only: half a message that trickles is not speech.
func (s *streamText) scan(text []byte) {
	hasNewline := bytes.IndexByte(text, '\n') >= 0
	text = bytes.TrimLeft(text, " \t\r\n")
	betweenMessages := s.messageBytes == 0 && len(text) == 0
	s.messageBytes += len(text)
	switch {
	case s.err != nil:
	case !betweenMessages && s.messageBytes > maxMessageBytes:
		s.err = &messageError{errEndlessText}
	case betweenMessages && hasNewline:
		s.err = s.onBlankLine()
	}
}

// messageTaken begins the next message; rest is what has been read of it.
func (s *streamText) messageTaken(rest io.Reader) {
	s.messageBytes = 0
	text, _ := io.ReadAll(rest) // from memory
	s.scan(text)
}

// fill brings what comes next into unread.
func (s *streamText) fill() error {
	n, err := s.tcp.Read(s.buffer[s.buffered:])
	s.buffered += n
	if n == 0 && err != nil {
		return err
	}
	if !s.headRead {
		complete, err := s.readHead()
		if err != nil || !complete {
			return err
		}
	}
	text, used, done, err := s.chunks.Decode(s.textBuffer, s.buffer[:s.buffered])
	s.unread = text
	if err != nil {
		return &messageError{err}
	}
	s.buffered = copy(s.buffer, s.buffer[used:s.buffered])
	if done {
		return errNotAWatch
	}
	return nil
}

// readHead reads the head of the response; false: it has not come whole.
func (s *streamText) readHead() (complete bool, err error) {
	status, chunked, size, err := http1.ParseStreamHead(s.buffer[:s.buffered])
	if err != nil || size > 0 && (status != 200 || !chunked) {
		return false, errNotAWatch
	}
	if size == 0 {
		return false, nil
	}
	s.headRead = true
	s.buffered = copy(s.buffer, s.buffer[size:s.buffered])
	return true, nil
}
