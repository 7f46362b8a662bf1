package httpguard

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The scanner finds the same, however a head is divided into reads.
func TestScannerIsIndependentOfReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{
			"Content-Length: 1", "content-length:2", "Transfer-Encoding: chunked", "X: Content-Length: 1", "Content-Length-X: 1",
			"X-Transfer-Encoding: a", ":", "a", "Transfer-Encoding", "\r",
		}), 0, 8).Draw(t, "lines")
		lineEnd := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
		head := "POST / HTTP/1.1" + lineEnd + strings.Join(append(lines, ""), lineEnd) + lineEnd
		var whole headScanner
		if !whole.scan([]byte(head + "body\n\n")) {
			t.Fatal("the end was not found")
		}
		var parts headScanner
		rest := head + "body\n\n"
		for ended := false; !ended; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			ended = parts.scan([]byte(rest[:n]))
			rest = rest[n:]
		}
		if parts.bytes != whole.bytes || parts.lines != whole.lines || parts.lengths != whole.lengths || parts.encodings != whole.encodings {
			t.Fatalf("%+v, in parts %+v", whole, parts)
		}
	})
}

func TestScannerCountsLengthFields(t *testing.T) {
	var s headScanner
	ended := s.scan([]byte("Content-Length: 1 HTTP/1.1\r\nContent-Length: 1\r\nContent-Lengthy: 1\r\nTRANSFER-ENCODING: x\r\n\r\nContent-Length: 1\r\n"))
	if !ended || s.lengths != 1 || s.encodings != 1 || s.lines != 4 {
		t.Fatalf("%v, %+v", ended, s)
	}
}
