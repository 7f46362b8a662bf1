package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// pendingCalls is how many calls of the counter's protocol may wait for their answers on one connection.
const pendingCalls = 4096

// observer notes what api gateways asked of the quota store and what was acknowledged, as it goes by. It must never take for
// acknowledged what has no answer.
type observer struct {
	mu       sync.Mutex // guards all below
	streams  int
	pending  map[requestKey]pendingCommand
	claims   map[string]*claim // by holder and name
	usage    map[string]*usage // by holder and customer
	counters map[string]*counterTotal
	markers  map[string]*marker // by invocation
	counts   commandCounts
}

// commandCounts count what was asked of the quota store.
type commandCounts struct {
	Asked    int
	Answered int
	Refused  int
	Unknown  int
}

// requestKey is the stream and ID of a request.
type requestKey struct {
	stream int
	id     int
}

// pendingCommand is a command without an answer yet, and its number among all commands.
type pendingCommand struct {
	command statemachine.Command
	number  int
}

// versioned is an amount that a holder reported, with the version of the report.
type versioned struct {
	version uint64
	units   float64
}

// claim is what one holder reported of one name.
type claim struct {
	holder     string
	name       string
	first      time.Time
	ttl        float64     // seconds
	reported   []versioned // usage
	unreported []versioned
	// Versions of the last reports that were acknowledged.
	ackedReported   uint64
	ackedUnreported uint64
}

// usage is what one holder metered of one customer, in units.
type usage struct {
	customer string
	acked    float64
	sent     float64
}

// counterTotal is a name in the counter's protocol, in which nobody says who adds.
type counterTotal struct {
	first time.Time
	ttl   float64 // seconds
	acked float64
	// What of the calls without an answer may be in it.
	pendingLeast float64
	pendingMost  float64
}

// marker is that of an invocation.
type marker struct {
	holders  []string
	acquired time.Time      // when the last acknowledgement came
	released map[string]int // by holder: the number of the command that asked for its release
}

func newObserver() *observer {
	return &observer{
		pending:  map[requestKey]pendingCommand{},
		claims:   map[string]*claim{},
		usage:    map[string]*usage{},
		counters: map[string]*counterTotal{},
		markers:  map[string]*marker{},
	}
}

func (o *observer) newStream() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.streams++
	return o.streams
}

// claimOf gives the claim of a command, which is made at its first one.
func (o *observer) claimOf(command *statemachine.Command) *claim {
	key := command.Holder + " " + command.Key
	c := o.claims[key]
	if c == nil {
		c = &claim{holder: command.Holder, name: command.Key, first: time.Now(), ttl: command.TTL}
		o.claims[key] = c
	}
	return c
}

// markerOf gives the marker of an invocation.
func (o *observer) markerOf(ref string) *marker {
	m := o.markers[ref]
	if m == nil {
		m = &marker{released: map[string]int{}}
		o.markers[ref] = m
	}
	return m
}

// usageOf gives what a command's holder metered of its customer.
func (o *observer) usageOf(command *statemachine.Command) *usage {
	key := command.Holder + " " + command.Key
	u := o.usage[key]
	if u == nil {
		u = &usage{customer: command.Key}
		o.usage[key] = u
	}
	return u
}

// requested notes the requests of a frame.
func (o *observer) requested(stream int, frame *protocol.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range frame.Requests {
		request := &frame.Requests[i]
		o.counts.Asked++
		o.pending[requestKey{stream, int(request.ID)}] = pendingCommand{request.Command, o.counts.Asked}
		o.noteRequest(&request.Command)
	}
}

func (o *observer) noteRequest(command *statemachine.Command) {
	switch command.Kind {
	case statemachine.ReportUsage:
		if command.Version > 0 {
			c := o.claimOf(command)
			c.reported = append(c.reported, versioned{command.Version, command.Amount - command.Reserved})
		}
	case statemachine.RecordUnreported:
		if command.Version > 0 {
			c := o.claimOf(command)
			c.unreported = append(c.unreported, versioned{command.Version, command.Amount})
		}
	case statemachine.ReleaseMarker:
		// From here on it may have been released, though the answer that says so is lost on its way.
		m := o.markerOf(command.Key)
		m.holders = slices.DeleteFunc(m.holders, func(holder string) bool { return holder == command.Holder })
		m.released[command.Holder] = o.counts.Asked
	case statemachine.MeterUsage:
		u := o.usageOf(command)
		u.sent = max(u.sent, command.Amount)
	}
}

// responded notes the responses of a frame.
func (o *observer) responded(stream int, frame *protocol.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range frame.Responses {
		response := &frame.Responses[i]
		key := requestKey{stream, int(response.RequestID)}
		asked, ok := o.pending[key]
		if !ok {
			continue
		}
		delete(o.pending, key)
		switch {
		case response.NotLeader:
			o.counts.Refused++
		case response.Unknown:
			o.counts.Unknown++
		case response.Reply.Code == statemachine.Done:
			o.counts.Answered++
			o.noteAcknowledged(&asked)
		}
	}
}

func (o *observer) noteAcknowledged(asked *pendingCommand) {
	command := &asked.command
	switch command.Kind {
	case statemachine.ReportUsage:
		if command.Version > 0 {
			c := o.claimOf(command)
			c.ackedReported = max(c.ackedReported, command.Version)
		}
	case statemachine.RecordUnreported:
		if command.Version > 0 {
			c := o.claimOf(command)
			c.ackedUnreported = max(c.ackedUnreported, command.Version)
		}
	case statemachine.AcquireMarker:
		m := o.markerOf(command.Key)
		if command.Scope == "" && asked.number > m.released[command.Holder] {
			m.holders = append(m.holders, command.Holder)
			m.acquired = time.Now()
		}
	case statemachine.MeterUsage:
		u := o.usageOf(command)
		u.acked = max(u.acked, command.Amount)
	}
}

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
