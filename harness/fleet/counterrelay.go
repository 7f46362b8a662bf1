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

// pendingCalls is how many calls of the counter's protocol may wait for their answers on one connection.
const pendingCalls = 4096

// counterCall is a call in the counter's protocol.
type counterCall struct {
	name   string
	amount float64
	ttl    float64 // seconds
	line   string  // of its request
	host   string
}

// relayCalls leads the counter's protocol from an api gateway to a member and back. event is told of each call and each answer before
// they go on.
func (o *observer) relayCalls(gateway, member net.Conn, event func(event string)) {
	calls := make(chan counterCall, pendingCalls)
	go func() {
		defer close(calls)
		o.relayRequests(gateway, member, calls, event)
		if half, ok := member.(*net.TCPConn); ok {
			_ = half.CloseWrite() // fails only if closed already
		}
	}()
	o.relayAnswers(member, gateway, calls, event)
	gateway.Close()
	go func() { // whoever still sends must not wait
		for range calls {
			continue
		}
	}()
}

// relayRequests leads requests on until the api gateway's end.
func (o *observer) relayRequests(gateway io.Reader, member io.Writer, calls chan<- counterCall, event func(event string)) {
	reader := textproto.NewReader(bufio.NewReader(gateway))
	for {
		line, header, err := readHead(reader)
		if err != nil {
			return
		}
		call := parseCall(line)
		call.host = header.Get("Host")
		event("called")
		o.called(call)
		calls <- call
		_, _ = fmt.Fprintf(member, "%s\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", call.line, call.host) // its answer doesn't come then
	}
}

// relayAnswers leads the answers of calls on, until one doesn't come or can't be passed on.
func (o *observer) relayAnswers(member io.Reader, gateway io.Writer, calls <-chan counterCall, event func(event string)) {
	buffered := bufio.NewReader(member)
	reader := textproto.NewReader(buffered)
	for call := range calls {
		line, header, err := readHead(reader)
		if err != nil {
			return
		}
		length, _ := strconv.Atoi(header.Get("Content-Length")) // no number is none
		body := make([]byte, length)
		if _, err := io.ReadFull(buffered, body); err != nil {
			return
		}
		event("added")
		o.answered(call, strings.Contains(line, " 200 "))
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

// parseCall reads POST /counters/NAME?by=AMOUNT&expire_ms=TTL. What isn't there or no number is 0.
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

// called notes a call: whether it was added isn't known yet.
func (o *observer) called(call counterCall) {
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

// answered notes the answer of a call.
func (o *observer) answered(call counterCall, added bool) {
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
