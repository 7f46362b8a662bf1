package http1

import "bytes"

// maxNumber bounds what parseDecimal and parseHex take, so that nothing overflows.
const maxNumber = 1 << 40

// trimSpace takes spaces and tabs off both ends.
func trimSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for n := len(b); n > 0 && (b[n-1] == ' ' || b[n-1] == '\t'); n-- {
		b = b[:n-1]
	}
	return b
}

// isToken says whether b may be a method or a field name.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// isVisible says whether b may be a target: without spaces or control characters.
func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// isFieldValue says whether b holds no control character but tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// equalFold compares a name with one in lower case, ASCII letters in either case.
func equalFold(b []byte, lower string) bool {
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

func parseDecimal(b []byte) (n int, ok bool) {
	for _, c := range b {
		if c < '0' || c > '9' || n > maxNumber {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, len(b) > 0
}

func parseHex(b []byte) (n int, ok bool) {
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
		n = n<<4 | int(c)
		if n > maxNumber {
			return 0, false
		}
	}
	return n, len(b) > 0
}
