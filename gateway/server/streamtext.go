package server

import (
	"bytes"
	"io"
	"net"

	"otterseam/gateway/http1"
)

const (
	maxMessageBytes   = 4 << 20 // maximum length of one discovery message
	streamBufferBytes = 2 * http1.MaxHeadBytes
)

// streamText reads the text of a watch, independent of its division into chunks: messages, separated by empty lines. It belongs to
// the goroutine that reads the stream.
type streamText struct {
	tcp         net.Conn
	onBlankLine func() error // called for an empty line between messages

	buffer   []byte // raw bytes as received
	buffered int    // number of bytes in buffer
	headRead bool
	chunks   http1.ChunkedStream

	textBuffer   []byte // memory for unread
	unread       []byte // text that Read has not returned yet
	messageBytes int    // length of the current message so far; 0: none has begun
	err          error  // the error that ended the text
}

func newStreamText(tcp net.Conn, onBlankLine func() error) *streamText {
	return &streamText{
		tcp:         tcp,
		onBlankLine: onBlankLine,
		buffer:      make([]byte, streamBufferBytes),
		textBuffer:  make([]byte, 0, streamBufferBytes),
	}
}

// Read implements io.Reader. It returns text as it arrives.
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

// scan tracks the length of the current message and looks for empty lines. They count between messages only: an incomplete message
// that trickles in is no sign of life.
func (s *streamText) scan(text []byte) {
	hasNewline := bytes.IndexByte(text, '\n') >= 0
	text = bytes.TrimLeft(text, " \t\r\n")
	betweenMessages := s.messageBytes == 0 && len(text) == 0
	s.messageBytes += len(text)
	switch {
	case s.err != nil:
	case !betweenMessages && s.messageBytes > maxMessageBytes:
		s.err = &messageError{errMessageTooLong}
	case betweenMessages && hasNewline:
		s.err = s.onBlankLine()
	}
}

// messageDecoded starts the next message. rest is the part of it that was already read.
func (s *streamText) messageDecoded(rest io.Reader) {
	s.messageBytes = 0
	text, _ := io.ReadAll(rest) // reads from memory
	s.scan(text)
}

// fill reads the next bytes and decodes them into unread.
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

// readHead parses the head of the response. It returns false if the head is not yet complete.
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
