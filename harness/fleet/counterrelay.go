package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// maxPendingCalls is the maximum number of unanswered calls of the counter's protocol on one connection.
const maxPendingCalls = 4096

// counterCall is a call in the counter's protocol.
type counterCall struct {
	name   string
	amount float64
	ttl    float64 // seconds
	line   string  // request line
	host   string
}

// relayCalls relays the counter's protocol between an api gateway and a member. onEvent is called for each call and each answer before it
// is forwarded.
func (o *observer) relayCalls(gateway, member net.Conn, onEvent func(event string)) {
	calls := make(chan counterCall, maxPendingCalls)
	go func() {
		defer close(calls)
		o.relayRequests(gateway, member, calls, onEvent)
		if half, ok := member.(*net.TCPConn); ok {
			_ = half.CloseWrite() // fails only if closed already
		}
	}()
	o.relayAnswers(member, gateway, calls, onEvent)
	gateway.Close()
	go func() { // keeps relayRequests from blocking on a full channel
		for range calls {
			continue
		}
	}()
}

// relayRequests forwards requests until the api gateway closes its connection.
func (o *observer) relayRequests(gateway io.Reader, member io.Writer, calls chan<- counterCall, onEvent func(event string)) {
	reader := textproto.NewReader(bufio.NewReader(gateway))
	for {
		line, header, err := readHead(reader)
		if err != nil {
			return
		}
		call := parseCall(line)
		call.host = header.Get("Host")
		onEvent("called")
		o.observeCall(call)
		calls <- call
		_, _ = fmt.Fprintf(member, "%s\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", call.line, call.host) // if it fails, no answer arrives
	}
}

// relayAnswers forwards the answers to calls until one is missing or can't be written.
func (o *observer) relayAnswers(member io.Reader, gateway io.Writer, calls <-chan counterCall, onEvent func(event string)) {
	buffered := bufio.NewReader(member)
	reader := textproto.NewReader(buffered)
	for call := range calls {
		line, header, err := readHead(reader)
		if err != nil {
			return
		}
		length, _ := strconv.Atoi(header.Get("Content-Length")) // a missing or invalid number is 0
		body := make([]byte, length)
		if _, err := io.ReadFull(buffered, body); err != nil {
			return
		}
		onEvent("added")
		o.observeAnswer(call, strings.Contains(line, " 200 "))
		if _, err := fmt.Fprintf(gateway, "%s\r\nContent-Length: %d\r\n\r\n%s", line, length, body); err != nil {
			return
		}
	}
}

// readHead reads the first line and the header of a message.
func readHead(reader *textproto.Reader) (line string, header textproto.MIMEHeader, err error) {
	if line, err = reader.ReadLine(); err == nil {
		header, err = reader.ReadMIMEHeader()
	}
	return line, header, err
}

// parseCall parses POST /counters/NAME?by=AMOUNT&expire_ms=TTL. A value that is missing or not a number is 0.
func parseCall(line string) counterCall {
	call := counterCall{line: line}
	words := strings.Fields(line)
	if len(words) < 2 {
		return call
	}
	target, err := url.Parse(words[1])
	if err != nil {
		return call
	}
	call.name = strings.TrimPrefix(target.Path, "/counters/")
	call.amount, _ = strconv.ParseFloat(target.Query().Get("by"), 64)
	milliseconds, _ := strconv.ParseFloat(target.Query().Get("expire_ms"), 64)
	call.ttl = milliseconds / 1000
	return call
}

// observeCall records a call. Whether its amount was added isn't known yet.
func (o *observer) observeCall(call counterCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Asked++
	c := o.counters[call.name]
	if c == nil {
		c = &counterTotal{first: time.Now(), ttl: call.ttl}
		o.counters[call.name] = c
	}
	c.pendingLeast += min(0, call.amount)
	c.pendingMost += max(0, call.amount)
}

// observeAnswer records the answer to a call.
func (o *observer) observeAnswer(call counterCall, added bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counters[call.name]
	c.pendingLeast -= min(0, call.amount)
	c.pendingMost -= max(0, call.amount)
	if added {
		c.acked += call.amount
		o.counts.Answered++
	} else {
		o.counts.Refused++
	}
}
