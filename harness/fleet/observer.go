package fleet

import (
	"slices"
	"sync"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

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
