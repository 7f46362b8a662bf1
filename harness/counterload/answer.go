package counterload

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	statusAdded = http.StatusOK
	// statusBegin to statusEnd is where the status stands in the first line of an answer.
	statusBegin = len("HTTP/1.1 ")
	statusEnd   = statusBegin + len("200")
)

// addRequest is a call that adds to a counter, which lives for a minute.
func addRequest(key string, amount float64) string {
	return fmt.Sprintf("POST /counters/%s?by=%g&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n", key, amount)
}

// answer is one of the counter's protocol.
type answer struct {
	status int
	body   string
}

func readAnswer(r *bufio.Reader) (answer, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return answer{}, err
	}
	if len(line) < statusEnd {
		return answer{}, io.ErrUnexpectedEOF
	}
	status, err := strconv.Atoi(line[statusBegin:statusEnd])
	if err != nil {
		return answer{}, err
	}
	length, err := readHeader(r)
	if err != nil {
		return answer{}, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return answer{}, err
	}
	return answer{status, string(body)}, nil
}

// readHeader reads the header and returns the length of the body.
func readHeader(r *bufio.Reader) (length int, err error) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if line = strings.TrimSpace(line); line == "" {
			return length, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !strings.EqualFold(name, "Content-Length") {
			continue
		}
		if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil {
			length = 0
		}
	}
}
