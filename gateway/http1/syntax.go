package http1

import "bytes"

// maxNumber limits the numbers that parseDecimal and parseHex accept, to prevent overflows.
const maxNumber = 1 << 40

// trimSpace removes leading and trailing spaces and tabs.
func trimSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for n := len(b); n > 0 && (b[n-1] == ' ' || b[n-1] == '\t'); n-- {
		b = b[:n-1]
	}
	return b
}

// isToken reports whether b is a token, the syntax of methods and field names.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// isRequestTarget reports whether all bytes of b are allowed in a request target, which excludes spaces and control characters.
func isRequestTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// isFieldValue reports whether b contains no control characters other than tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// equalFold reports whether b equals lower, which is in lower case, ignoring the case of ASCII letters.
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
