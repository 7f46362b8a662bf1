package fleet

import (
	"slices"
	"sync"
	"time"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// observer records what api gateways requested from the quota store and what it acknowledged, from the traffic between them. It must never
// count a request without an answer as acknowledged.
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

// commandCounts are the numbers of requests to the quota store, in total and by outcome.
type commandCounts struct {
	Asked    int
	Answered int
	Refused  int
	Unknown  int
}

// requestKey identifies a request by its stream and ID.
type requestKey struct {
	stream int
	id     int
}

// pendingCommand is a command without an answer yet, and its sequence number among all commands.
type pendingCommand struct {
	command statemachine.Command
	number  int
}

// versionedAmount is an amount that a holder reported, with the version of the report.
type versionedAmount struct {
	version uint64
	units   float64
}

// claim is what one holder reported about one name.
type claim struct {
	holder     string
	name       string
	first      time.Time
	ttl        float64           // seconds
	reported   []versionedAmount // usage
	unreported []versionedAmount
	// Versions of the last acknowledged reports.
	ackedReported   uint64
	ackedUnreported uint64
}

// usage is what one holder metered for one customer, in units.
type usage struct {
	customer string
	acked    float64
	sent     float64
}

// counterTotal is the total of a name in the counter's protocol, whose calls don't identify the holder.
type counterTotal struct {
	first time.Time
	ttl   float64 // seconds
	acked float64
	// Bounds of what calls without an answer may have added.
	pendingLeast float64
	pendingMost  float64
}

// marker is the marker of an invocation.
type marker struct {
	holders  []string
	acquired time.Time      // when an acquisition was last acknowledged
	released map[string]int // by holder: the sequence number of the last command to release it
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

// claimOf returns the claim that a command is about, and creates it on first use.
func (o *observer) claimOf(command *statemachine.Command) *claim {
	key := command.Holder + " " + command.Key
	c := o.claims[key]
	if c == nil {
		c = &claim{holder: command.Holder, name: command.Key, first: time.Now(), ttl: command.TTL}
		o.claims[key] = c
	}
	return c
}

// markerOf returns the marker of an invocation, and creates it on first use.
func (o *observer) markerOf(ref string) *marker {
	m := o.markers[ref]
	if m == nil {
		m = &marker{released: map[string]int{}}
		o.markers[ref] = m
	}
	return m
}

// usageOf returns the usage that a command's holder metered for its customer, and creates it on first use.
func (o *observer) usageOf(command *statemachine.Command) *usage {
	key := command.Holder + " " + command.Key
	u := o.usage[key]
	if u == nil {
		u = &usage{customer: command.Key}
		o.usage[key] = u
	}
	return u
}

// observeRequests records the requests of a frame.
func (o *observer) observeRequests(stream int, frame *protocol.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range frame.Requests {
		request := &frame.Requests[i]
		o.counts.Asked++
		o.pending[requestKey{stream, int(request.ID)}] = pendingCommand{request.Command, o.counts.Asked}
		o.recordRequest(&request.Command)
	}
}

func (o *observer) recordRequest(command *statemachine.Command) {
	switch command.Kind {
	case statemachine.ReportUsage:
		if command.Version > 0 {
			c := o.claimOf(command)
			c.reported = append(c.reported, versionedAmount{command.Version, command.Amount - command.Reserved})
		}
	case statemachine.RecordUnreported:
		if command.Version > 0 {
			c := o.claimOf(command)
			c.unreported = append(c.unreported, versionedAmount{command.Version, command.Amount})
		}
	case statemachine.ReleaseMarker:
		// From now on the marker may be released, even if the answer to this command is lost.
		m := o.markerOf(command.Key)
		m.holders = slices.DeleteFunc(m.holders, func(holder string) bool { return holder == command.Holder })
		m.released[command.Holder] = o.counts.Asked
	case statemachine.MeterUsage:
		u := o.usageOf(command)
		u.sent = max(u.sent, command.Amount)
	}
}

// observeResponses records the responses of a frame.
func (o *observer) observeResponses(stream int, frame *protocol.Frame) {
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
			o.recordAcknowledged(&asked)
		}
	}
}

func (o *observer) recordAcknowledged(asked *pendingCommand) {
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
