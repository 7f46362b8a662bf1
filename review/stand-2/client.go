package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// turn is one request of a program on a retained route.
type turn struct {
	front    string
	path     string
	id       string
	program  string
	previous string
	budget   int
	tokens   int // the most that the turn generates
	input    string
	deadline time.Duration

	lastEvent string          // Last-Event-Id, if the client goes on with a stream
	onEvent   func(count int) // called at each event; may be nil
}

// answer is what a client got.
type answer struct {
	status int // 0 if there was none
	whole  bool
	events int
	texts  []string // the data of the events
	retry  string
	took   time.Duration
	err    error
}

func (a answer) served() bool { return a.status == http.StatusOK && a.whole }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

const clientHost = "ficu95.example"

// send sends a turn on a new connection, as a client does, and reads its answer.
func (t *tier) send(each turn) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), each.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+each.front+each.path, strings.NewReader(each.input))
	if err != nil {
		return answer{err: err}
	}
	request.Host = clientHost
	header := map[string]string{
		"X-Request-Id": each.id, "Program": each.program, "Session": each.program + "-s", "Finish-Ms": "20000", "X-Model-Id": "m",
		"X-Token-Count": fmt.Sprintf("1000,%d", each.tokens), "X-Deadline-Ms": fmt.Sprint(each.deadline.Milliseconds()),
	}
	if each.budget > 0 {
		header["Budget"] = fmt.Sprint(each.budget)
	}
	if each.previous != "" {
		header["Previous"] = each.previous
	}
	if each.lastEvent != "" {
		header["Last-Event-Id"] = each.lastEvent
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	got := answer{}
	response, err := transport.RoundTrip(request)
	if err != nil {
		got.err = err
	} else {
		defer response.Body.Close()
		got.status = response.StatusCode
		got.retry = response.Header.Get("Retry-After")
		reader := bufio.NewReader(response.Body)
		for {
			line, err := reader.ReadString('\n')
			if data, isData := strings.CutPrefix(line, "data: "); isData {
				got.events++
				got.texts = append(got.texts, strings.TrimSuffix(data, "\n"))
				if each.onEvent != nil {
					each.onEvent(got.events)
				}
			}
			if err != nil {
				got.whole = err == io.EOF
				if !got.whole {
					got.err = err
				}
				break
			}
		}
	}
	got.took = time.Since(began)
	t.record.note("turn %s of %s at %s, previous %q: status %d, whole %v, %d events, %.3f s, error %v",
		each.id, each.program, each.front, each.previous, got.status, got.whole, got.events, got.took.Seconds(), got.err)
	return got
}
