package http1

import "bytes"

const (
	lineEnd = "\r\n"
	headEnd = "\r\n\r\n"
)

// parseHead parses the head if it has been received completely.
func (m *Message) parseHead() (complete bool, err error) {
	if m.scanned == 0 {
		m.skipEmptyLines()
	}
	i := bytes.Index(m.buffer[m.scanned:m.end], []byte(headEnd))
	if i < 0 {
		m.scanned = max(0, m.end-len(headEnd)+1)
		if m.end > MaxHeadBytes {
			return false, ErrHeadTooLong
		}
		return false, nil
	}
	m.bodyStart = m.scanned + i + len(headEnd)
	if m.bodyStart > MaxHeadBytes {
		return false, ErrHeadTooLong
	}
	head := m.buffer[:m.bodyStart-len(lineEnd)]
	startLine, fieldLines, _ := bytes.Cut(head, []byte(lineEnd))
	m.makeFields(fieldLines)
	http10, ok := m.parseStartLine(startLine)
	if !ok {
		return false, ErrMalformed
	}
	if err := m.parseFields(fieldLines, http10); err != nil {
		return false, err
	}
	return true, nil
}

// skipEmptyLines skips empty lines before a message (RFC 9112, section 2.2).
func (m *Message) skipEmptyLines() {
	skip := 0
	for m.end-skip >= 2 && m.buffer[skip] == '\r' && m.buffer[skip+1] == '\n' {
		skip += 2
	}
	if skip > 0 {
		m.end = copy(m.buffer, m.buffer[skip:m.end])
	}
}

// parseStartLine parses the request or status line. http10 reports version 1.0, whose connections close by default.
func (m *Message) parseStartLine(line []byte) (http10, ok bool) {
	var version []byte
	if m.response {
		version, ok = m.parseStatusLine(line)
	} else {
		version, ok = m.parseRequestLine(line)
	}
	http10 = string(version) == "HTTP/1.0"
	return http10, ok && (http10 || string(version) == "HTTP/1.1")
}

func (m *Message) parseStatusLine(line []byte) (version []byte, ok bool) {
	version, line, _ = bytes.Cut(line, []byte(" "))
	status, _, _ := bytes.Cut(line, []byte(" "))
	if len(status) != 3 {
		return nil, false
	}
	for _, c := range status {
		if c < '0' || c > '9' {
			return nil, false
		}
		m.Status = m.Status*10 + int(c-'0')
	}
	return version, m.Status >= 100
}

func (m *Message) parseRequestLine(line []byte) (version []byte, ok bool) {
	var hasVersion bool
	m.Method, line, _ = bytes.Cut(line, []byte(" "))
	m.Target, version, hasVersion = bytes.Cut(line, []byte(" "))
	return version, hasVersion && isToken(m.Method) && len(m.Target) > 0 && isRequestTarget(m.Target)
}

func (m *Message) parseFields(fieldLines []byte, http10 bool) error {
	m.bodyLength = lengthUntilClose
	m.Close = http10
	chunked := false
	for len(fieldLines) > 0 {
		var line []byte
		line, fieldLines, _ = bytes.Cut(fieldLines, []byte(lineEnd))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) { // a missing name, a space before the colon, or a folded line
			return ErrMalformed
		}
		value = trimSpace(value)
		if !isFieldValue(value) {
			return ErrMalformed
		}
		m.fields = append(m.fields, m.offsetsOf(name, value))
		switch {
		case equalFold(name, "content-length"):
			ok = m.parseContentLength(value)
		case equalFold(name, "transfer-encoding"):
			ok = !chunked && equalFold(value, "chunked")
			chunked = true
		case equalFold(name, "connection"):
			m.parseConnection(value)
		}
		if !ok {
			return ErrMalformed
		}
	}
	return m.determineBodyLength(chunked, http10)
}

// makeFields makes room for the fields of a head, so that none is left over by growth.
func (m *Message) makeFields(fieldLines []byte) {
	if count := bytes.Count(fieldLines, []byte(lineEnd)); count > cap(m.fields) {
		m.fields = make([]fieldOffsets, 0, count)
	}
}

// offsetsOf returns the offsets of a field whose name and value are parts of the buffer.
func (m *Message) offsetsOf(name, value []byte) fieldOffsets {
	nameStart := m.offsetOf(name)
	valueStart := m.offsetOf(value)
	return fieldOffsets{nameStart, nameStart + uint16(len(name)), valueStart, valueStart + uint16(len(value))}
}

// offsetOf returns where a part of the buffer starts: a part has the capacity that is left of the buffer from there on.
func (m *Message) offsetOf(part []byte) uint16 { return uint16(cap(m.buffer) - cap(part)) }

// parseContentLength returns false if value is not a length or contradicts an earlier Content-Length.
func (m *Message) parseContentLength(value []byte) bool {
	n, ok := parseDecimal(value)
	if !ok || m.bodyLength >= 0 && m.bodyLength != n {
		return false
	}
	m.bodyLength = n
	return true
}

func (m *Message) parseConnection(value []byte) {
	for len(value) > 0 {
		var option []byte
		option, value, _ = bytes.Cut(value, []byte(","))
		option = trimSpace(option)
		switch {
		case equalFold(option, "close"):
			m.Close = true
		case equalFold(option, "keep-alive"):
			m.Close = false
		}
	}
}

// determineBodyLength sets bodyLength from the header fields (RFC 9112, section 6.3).
func (m *Message) determineBodyLength(chunked, http10 bool) error {
	switch {
	case chunked && m.bodyLength >= 0, chunked && http10: // ambiguous length
		return ErrMalformed
	case chunked:
		m.bodyLength = lengthChunked
	case m.bodyLength > MaxBodyBytes:
		return ErrBodyTooLong
	case m.response && hasNoBody(m.Status):
		m.bodyLength = 0
	case m.bodyLength == lengthUntilClose && !m.response:
		m.bodyLength = 0
	case m.bodyLength == lengthUntilClose:
		m.Close = true
	}
	return nil
}

func hasNoBody(status int) bool { return status < 200 || status == 204 || status == 304 }
