// Package http1 reads and writes HTTP/1.1 messages of both sides, in buffers its callers lend.
//
// This file owns the framing: where a head ends, how long a body is, how chunks join. A Message is fed bytes as
// they come and says when it is whole. It must never open or read a socket, hold a buffer after its caller has
// taken it back, or know what the fields mean to an api gateway (that is fields.go).
package http1

import (
	"bytes"
	"errors"
)

// MaxHeadBytes and MaxBodyBytes are the most a message may hold; MaxMessageBytes holds both, and a head written anew. SmallBufferBytes holds most
// messages.
const (
	MaxHeadBytes     = 8 << 10
	MaxBodyBytes     = 64 << 10
	MaxMessageBytes  = 80 << 10
	SmallBufferBytes = 4 << 10
)

var (
	ErrMalformed   = errors.New("malformed message")
	ErrHeadTooLong = errors.New("head over its limit")
	ErrBodyTooLong = errors.New("body over its limit")
	ErrCutShort    = errors.New("message cut short")
)

// Field is one header line. Like all slices here it points into the caller's buffer.
type Field struct{ Name, Value []byte }

// Message is one request or response on its way in.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Fields         []Field
	Body           []byte
	Close          bool // the sender will not use the connection again

	room     []byte
	response bool
	end      int // bytes in room
	scanned  int // no end of the head before here
	body     int // where the body begins; 0: the head is not whole
	need     int // length of the body; -1: chunked; -2: until the sender ends
	chunks   chunks
	rest     int // where what follows the message begins
}

// Reset makes m ready for a new message in room.
func (m *Message) Reset(room []byte, response bool) {
	*m = Message{room: room, response: response, Fields: m.Fields[:0]}
}

// Space is where the next bytes are to be read into. Where it is empty before the message is whole, the message is to be
// moved to a larger room.
func (m *Message) Space() []byte { return m.room[m.end:] }

// Empty says that nothing of the message has come.
func (m *Message) Empty() bool { return m.end == 0 }

// MoveTo takes what has come to a larger room.
func (m *Message) MoveTo(room []byte) {
	old := *m
	m.Reset(room, old.response)
	m.end = copy(room, old.room[:old.end])
	if m.scanned = old.scanned; old.body == 0 {
		return
	}
	m.scanned = 0
	m.head() // it was good before, and points into the new room now
	m.chunks, m.Body = old.chunks, room[m.body:m.body+len(old.Body)]
}

// Rest is what came after the end of a whole message.
func (m *Message) Rest() []byte { return m.room[m.rest:m.end] }

// Next makes m ready for the message that follows a whole one in the same room, and says how many bytes of it are there.
func (m *Message) Next() int {
	n := copy(m.room, m.Rest())
	m.Reset(m.room, m.response)
	return n
}

// Advance tells that n more bytes stand in Space, and says whether the message is whole.
func (m *Message) Advance(n int) (bool, error) {
	m.end += n
	if m.body == 0 {
		if done, err := m.head(); !done || err != nil {
			return false, err
		}
	}
	switch {
	case m.need == -1:
		return m.unchunk()
	case m.need == -2:
		m.Body, m.rest = m.room[m.body:m.end], m.end
		if len(m.Body) > MaxBodyBytes {
			return false, ErrBodyTooLong
		}
		return false, nil
	case m.end-m.body < m.need:
		return false, nil
	}
	m.rest = m.body + m.need
	m.Body = m.room[m.body:m.rest:m.rest]
	return true, nil
}

// AdvanceRest tells that n more bytes stand in Space, behind a message that is whole.
func (m *Message) AdvanceRest(n int) { m.end += n }

// EndOfInput tells that the sender has ended its sending before the message was whole, and says whether that makes it so.
func (m *Message) EndOfInput() bool { return m.body > 0 && m.need == -2 }

func (m *Message) head() (bool, error) {
	if m.scanned == 0 { // empty lines before a message are passed over
		skip := 0
		for m.end-skip >= 2 && m.room[skip] == '\r' && m.room[skip+1] == '\n' {
			skip += 2
		}
		if skip > 0 {
			m.end = copy(m.room, m.room[skip:m.end])
		}
	}
	i := bytes.Index(m.room[m.scanned:m.end], []byte("\r\n\r\n"))
	if i < 0 {
		if m.scanned = max(0, m.end-3); m.end > MaxHeadBytes {
			return false, ErrHeadTooLong
		}
		return false, nil
	}
	m.body = m.scanned + i + 4
	if m.body > MaxHeadBytes {
		return false, ErrHeadTooLong
	}
	head := m.room[:m.body-2]
	line, lines, _ := bytes.Cut(head, []byte("\r\n"))
	old, ok := m.firstLine(line)
	if !ok {
		return false, ErrMalformed
	}
	return m.fields(lines, old)
}

// firstLine reads the request or status line; old: HTTP/1.0, whose connections do not stay.
func (m *Message) firstLine(line []byte) (old, ok bool) {
	var version []byte
	if m.response {
		var status []byte
		version, line, _ = bytes.Cut(line, []byte(" "))
		status, _, _ = bytes.Cut(line, []byte(" "))
		if len(status) != 3 {
			return false, false
		}
		for _, c := range status {
			if c < '0' || c > '9' {
				return false, false
			}
			m.Status = m.Status*10 + int(c-'0')
		}
		ok = m.Status >= 100
	} else {
		var more bool
		m.Method, line, _ = bytes.Cut(line, []byte(" "))
		m.Target, version, more = bytes.Cut(line, []byte(" "))
		ok = more && token(m.Method) && len(m.Target) > 0 && visible(m.Target)
	}
	old = string(version) == "HTTP/1.0"
	return old, ok && (old || string(version) == "HTTP/1.1")
}

func (m *Message) fields(lines []byte, old bool) (bool, error) {
	m.need, m.Close = -2, old
	chunked := false
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !token(name) { // a folded line, a space before the colon, no name
			return false, ErrMalformed
		}
		value = trim(value)
		if !clean(value) {
			return false, ErrMalformed
		}
		m.Fields = append(m.Fields, Field{name, value})
		switch {
		case equal(name, "content-length"):
			n, ok := digits(value)
			if !ok || m.need >= 0 && m.need != n {
				return false, ErrMalformed
			}
			m.need = n
		case equal(name, "transfer-encoding"):
			if chunked || !equal(value, "chunked") {
				return false, ErrMalformed
			}
			chunked = true
		case equal(name, "connection"):
			for len(value) > 0 {
				var word []byte
				word, value, _ = bytes.Cut(value, []byte(","))
				word = trim(word)
				if m.Close = m.Close || equal(word, "close"); equal(word, "keep-alive") {
					m.Close = false
				}
			}
		}
	}
	switch {
	case chunked && m.need >= 0, chunked && old: // two lengths: the next reader might take the other
		return false, ErrMalformed
	case chunked:
		m.need = -1
	case m.need > MaxBodyBytes:
		return false, ErrBodyTooLong
	case m.response && (m.Status < 200 || m.Status == 204 || m.Status == 304):
		m.need = 0
	case m.need == -2 && !m.response:
		m.need = 0
	case m.need == -2:
		m.Close = true
	}
	return true, nil
}

// unchunk joins the chunks that have come and moves what is left of the raw bytes up behind them.
func (m *Message) unchunk() (bool, error) {
	from := m.body + len(m.Body)
	w, r, done, err := m.chunks.join(m.room[from:from], m.room[from:m.end])
	if err != nil {
		return false, err
	}
	if m.Body = m.room[m.body : from+w : from+w]; len(m.Body) > MaxBodyBytes {
		return false, ErrBodyTooLong
	}
	m.end = from + w + copy(m.room[from+w:], m.room[from+r:m.end])
	m.rest = from + w
	if !done && m.end >= MaxMessageBytes {
		return false, ErrBodyTooLong
	}
	return done, nil
}

// chunks is how far a chunked body has been read.
type chunks struct {
	endless bool // a stream: its chunks may be of any length
	left    int  // of the chunk in hand
	tail    bool // its closing line is still to come
	last    bool // only trailer lines are to come
	trailer int  // bytes of them
}

// join appends to dst the data in src. dst may begin where src does: no more is written than was read.
func (c *chunks) join(dst, src []byte) (w, r int, done bool, err error) {
	for r < len(src) {
		if c.left > 0 {
			n := min(c.left, len(src)-r)
			dst = append(dst, src[r:r+n]...)
			r, w, c.left = r+n, w+n, c.left-n
			c.tail = true
			continue
		}
		i := bytes.IndexByte(src[r:], '\n')
		if i < 0 && len(src)-r > 256 || i > 256 || i == 0 || i > 0 && src[r+i-1] != '\r' {
			return w, r, false, ErrMalformed
		}
		if i < 0 {
			break
		}
		line := src[r : r+i-1]
		r += i + 1
		switch {
		case c.tail:
			if len(line) > 0 {
				return w, r, false, ErrMalformed
			}
			c.tail = false
		case c.last:
			if len(line) == 0 {
				return w, r, true, nil
			}
			if c.trailer += len(line); c.trailer > MaxHeadBytes {
				return w, r, false, ErrHeadTooLong
			}
		default:
			size, _, _ := bytes.Cut(line, []byte(";"))
			n, ok := hex(bytes.TrimRight(size, " \t"))
			if !ok {
				return w, r, false, ErrMalformed
			}
			if n > MaxBodyBytes && !c.endless {
				return w, r, false, ErrBodyTooLong
			}
			c.left, c.last = n, n == 0
		}
	}
	return w, r, false, nil
}

// ChunkedStream joins a chunked stream without end, as a watch is: it appends to dst the data in src and says how much of
// src was used and whether the stream has ended.
type ChunkedStream struct{ chunks chunks }

func (l *ChunkedStream) Decode(dst, src []byte) (data []byte, used int, done bool, err error) {
	l.chunks.endless = true
	w, r, done, err := l.chunks.join(dst[len(dst):], src)
	if cap(dst)-len(dst) >= w {
		return dst[:len(dst)+w], r, done, err
	}
	return nil, r, done, ErrBodyTooLong
}

// trim takes spaces and tabs off both ends.
func trim(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for n := len(b); n > 0 && (b[n-1] == ' ' || b[n-1] == '\t'); n-- {
		b = b[:n-1]
	}
	return b
}

func token(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

func visible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

func clean(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// equal compares a name with one in lower case.
func equal(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

func digits(b []byte) (n int, ok bool) {
	for _, c := range b {
		if c < '0' || c > '9' || n > 1<<40 {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, len(b) > 0
}

func hex(b []byte) (n int, ok bool) {
	for _, c := range b {
		switch {
		case '0' <= c && c <= '9':
			c -= '0'
		case 'a' <= c && c <= 'f':
			c -= 'a' - 10
		case 'A' <= c && c <= 'F':
			c -= 'A' - 10
		default:
			return 0, false
		}
		if n = n<<4 | int(c); n > 1<<40 {
			return 0, false
		}
	}
	return n, len(b) > 0
}

// ParseStreamHead reads the head of an answer whose body has no end; size is 0 while the head is not whole.
func ParseStreamHead(b []byte) (status int, chunked bool, size int, err error) {
	var m Message
	m.Reset(b, true)
	if m.end = len(b); m.end == 0 {
		return 0, false, 0, nil
	}
	done, err := m.head()
	if !done || err != nil {
		return 0, false, 0, err
	}
	return m.Status, m.need == -1, m.body, nil
}
