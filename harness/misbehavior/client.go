package misbehavior

import (
	"fmt"
	"io"
	"strings"
)

// Client is what one client of a crowd sends on its connection.
type Client struct {
	// Write writes everything that the client has to send. It returns the error of the first write that failed.
	Write func(w io.Writer, number int) error
	// IgnoresResponses makes the client leave the responses in its connection instead of reading them.
	IgnoresResponses bool
}

// writeBytes is the size of the writes of long texts.
const writeBytes = 16 << 10

// Silent returns a client that sends nothing.
func Silent() Client {
	return Client{Write: func(io.Writer, int) error { return nil }}
}

// OpenHead returns a client that sends a request line and header lines of a few bytes each, bytes in total, and never ends its head.
func OpenHead(requestLine string, bytes int) Client {
	return Client{Write: func(w io.Writer, _ int) error {
		return writeText(w, requestLine+"\r\nHost: try.example\r\n"+shortLines(bytes))
	}}
}

// OneByteWrites returns a client that sends what another one does in writes of a single byte.
func OneByteWrites(c Client) Client {
	return Client{IgnoresResponses: c.IgnoresResponses, Write: func(w io.Writer, number int) error {
		return c.Write(singleByteWriter{w}, number)
	}}
}

// EmptyLines returns a client that sends empty lines, bytes in total, before a request that it never starts.
func EmptyLines(bytes int) Client {
	return Client{Write: func(w io.Writer, _ int) error { return writeText(w, strings.Repeat("\r\n", bytes/2)) }}
}

// Request is a POST request whose head is valid.
type Request struct {
	Path    string
	Host    string
	IDStart string   // start of the request's ID, which the client's number follows
	Fields  []string // further header lines, as "Name: value"
	Bytes   int      // length of the body
	Missing int      // number of bytes at the end of the body that are never sent
	Lines   int      // bytes of short header lines
}

// Complete returns the request with all bytes of its body.
func (r Request) Complete() Request {
	r.Missing = 0
	return r
}

// head returns the request's head, with the length of the body.
func (r Request) head(number int, length string) string {
	fields := append([]string{"Host: " + r.Host, fmt.Sprintf("X-Request-Id: %s%06x", r.IDStart, number)}, r.Fields...)
	return "POST " + r.Path + " HTTP/1.1\r\n" + strings.Join(append(fields, length), "\r\n") + "\r\n" + shortLines(r.Lines) + "\r\n"
}

// Body returns a client that sends a request with its length in the head.
func Body(r Request) Client {
	return Client{Write: func(w io.Writer, number int) error {
		text := r.head(number, fmt.Sprintf("Content-Length: %d", r.Bytes)) + strings.Repeat("x", r.Bytes-r.Missing)
		return writeText(w, text)
	}}
}

// chunkExtension follows the length of each chunk that Chunks sends.
const chunkExtension = ";extension=0123456789"

// Chunks returns a client that sends its body in chunks of one byte with an extension each, and not the last chunk.
func Chunks(r Request) Client {
	return Client{Write: func(w io.Writer, number int) error {
		chunks := strings.Repeat("1"+chunkExtension+"\r\nx\r\n", r.Bytes)
		return writeText(w, r.head(number, "Transfer-Encoding: chunked")+chunks)
	}}
}

// Trailer returns a client that sends a body in chunks and after it a trailer of short lines, bytes in total, that it never ends.
func Trailer(r Request, bytes int) Client {
	return Client{Write: func(w io.Writer, number int) error {
		return writeText(w, r.head(number, "Transfer-Encoding: chunked")+"1\r\nx\r\n0\r\n"+shortLines(bytes))
	}}
}

// Pipeline returns a client that sends requests one after another on its connection without reading the responses.
func Pipeline(r Request, requests int) Client {
	return Client{IgnoresResponses: true, Write: func(w io.Writer, number int) error {
		for i := range requests {
			each := r
			each.IDStart = fmt.Sprintf("%s%04x", r.IDStart, number)
			text := each.head(i, fmt.Sprintf("Content-Length: %d", r.Bytes)) + strings.Repeat("x", r.Bytes)
			if err := writeText(w, text); err != nil {
				return err
			}
		}
		return nil
	}}
}

// Text returns a client that sends a text.
func Text(text string) Client {
	return Client{Write: func(w io.Writer, _ int) error { return writeText(w, text) }}
}

// shortLines returns header lines of four bytes, the shortest that are valid, of at most bytes in total.
func shortLines(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len()+len("a:\r\n") <= bytes; i++ {
		b.WriteByte(letters[i%len(letters)])
		b.WriteString(":\r\n")
	}
	return b.String()
}

func writeText(w io.Writer, text string) error {
	for len(text) > 0 {
		n := min(len(text), writeBytes)
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// singleByteWriter passes each byte on in a write of its own.
type singleByteWriter struct{ w io.Writer }

// Write writes the bytes one at a time.
func (s singleByteWriter) Write(p []byte) (int, error) {
	for i := range p {
		if _, err := s.w.Write(p[i : i+1]); err != nil {
			return i, err
		}
	}
	return len(p), nil
}
