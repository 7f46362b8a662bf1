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
	// statusStart and statusEnd delimit the status code in the status line of a response.
	statusStart = len("HTTP/1.1 ")
	statusEnd   = statusStart + len("200")
)

// addRequest returns a request that adds amount to the counter key. The counter expires after a minute.
func addRequest(key string, amount float64) string {
	return fmt.Sprintf("POST /counters/%s?by=%g&expire_ms=60000 HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n", key, amount)
}

// response is a response of the counter protocol.
type response struct {
	status int
	body   string
}

func readResponse(r *bufio.Reader) (response, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return response{}, err
	}
	if len(line) < statusEnd {
		return response{}, io.ErrUnexpectedEOF
	}
	status, err := strconv.Atoi(line[statusStart:statusEnd])
	if err != nil {
		return response{}, err
	}
	length, err := readHeader(r)
	if err != nil {
		return response{}, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return response{}, err
	}
	return response{status, string(body)}, nil
}

// readHeader reads the header and returns the body length from Content-Length, or 0 if it is missing or invalid.
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
