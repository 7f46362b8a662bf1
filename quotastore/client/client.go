package client

import (
	"maps"
	"slices"
	"strconv"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Times in seconds.
const (
	renewInterval  = 1.0  // between renewals of the lease
	leaseTTL       = 3.0  // of the lease
	recordInterval = 0.1  // between looks at unreported usage
	meterInterval  = 0.25 // between looks at metered usage
	accountTTL     = 70.0 // after which an unused counter is forgotten: longer than any lives
	epochLength    = 60.0 // after which usage is metered under another name, so that customers can be forgotten
	minMarkerTTL   = 60.0 // for which a marker is held at least
)

// OutcomeKind is what an Outcome is of.
type OutcomeKind int

const (
	// NoOutcome is of a response that concerns the client alone.
	NoOutcome OutcomeKind = iota
	// UsageReported has a counter's total, unless it is Rejected or Unknown.
	UsageReported
	// MarkerAcquired says that a delivery may begin.
	MarkerAcquired
	// MarkerHeld says that another delivery has begun.
	MarkerHeld
	// MarkerUnknown says that nothing is known of the marker: no delivery may begin.
	MarkerUnknown
)

// Outcome is the meaning of a response, for the caller who has the ID of the request.
type Outcome struct {
	Kind      OutcomeKind
	RequestID uint64
	Total     float64 // of the counter
	Rejected  bool    // nothing was added
	Unknown   bool    // it is not known whether it was added
}

// requestKind is what a pending request is for.
type requestKind int

const (
	reportUsage requestKind = iota
	acquireMarker
	releaseMarker
	renewLease
	recordUnreported
	meterUsage
	queryFormerUnreported // of a holder whose lease expired: the unreported usage that the store has of it
	queryFormerReported   // likewise: the reported amount
)

// pendingRequest is a request without a response.
type pendingRequest struct {
	kind    requestKind
	key     string // of the account, meter or marker; "": none
	command statemachine.Command
}

// Client is the state of one gateway's process.
type Client struct {
	name        string
	lastID      uint64 // of a request
	lastVersion uint64 // of a report or record
	pending     map[uint64]*pendingRequest
	outbox      []protocol.Request
	logLines    []string

	accounts map[string]*account // by the counter's key
	meters   meters
	schedule schedule
	backoff  backoff

	leaseLosses int // part of the holder name
}

// schedule has the times, in seconds, at which things are due.
type schedule struct {
	renewAt, recordAt, meterAt float64
}

// New makes the client of a gateway's process. No process before it may have had the name.
func New(name string) *Client {
	return &Client{
		name:     name,
		pending:  map[uint64]*pendingRequest{},
		accounts: map[string]*account{},
		meters:   meters{customers: map[string]*meter{}},
	}
}

// Holder returns the name under which the store knows the client at present.
func (c *Client) Holder() string { return c.name + "." + strconv.Itoa(c.leaseLosses) }

// LeaseLosses returns how often the lease expired though the gateway lives.
func (c *Client) LeaseLosses() int { return c.leaseLosses }

// request queues a request, and returns its ID. A command without a holder gets the client's.
func (c *Client) request(kind requestKind, key string, command statemachine.Command) (id uint64) {
	c.lastID++
	if command.Holder == "" {
		command.Holder = c.Holder()
	}
	c.pending[c.lastID] = &pendingRequest{kind: kind, key: key, command: command}
	c.outbox = append(c.outbox, protocol.Request{ID: c.lastID, Command: command})
	return c.lastID
}

func (c *Client) nextVersion() uint64 {
	c.lastVersion++
	return c.lastVersion
}

// AcquireMarker asks whether a delivery of an invocation may begin. scope says where a repeat is harmless; "": nowhere. ttl is
// the invocation's, in seconds. It returns the ID of the request.
func (c *Client) AcquireMarker(invocation, scope string, ttl float64) (id uint64) {
	return c.request(acquireMarker, invocation, statemachine.Command{
		Kind:  statemachine.AcquireMarker,
		Key:   invocation,
		Scope: scope,
		TTL:   max(minMarkerTTL, 2*ttl),
	})
}

// ReleaseMarker says that nothing of an invocation ever ran.
func (c *Client) ReleaseMarker(invocation string) {
	c.request(releaseMarker, invocation, statemachine.Command{Kind: statemachine.ReleaseMarker, Key: invocation})
}

// TakeRequests returns the requests that are to be sent now, with what is due at this time, in seconds.
func (c *Client) TakeRequests(now float64) []protocol.Request {
	if now >= c.schedule.renewAt {
		c.schedule.renewAt = now + renewInterval
		c.request(renewLease, "", statemachine.Command{Kind: statemachine.RenewLease, TTL: leaseTTL})
	}
	if now >= c.schedule.recordAt {
		c.schedule.recordAt = now + recordInterval + c.backoff.delay
		c.recordAccounts(now)
	}
	if now >= c.schedule.meterAt {
		c.schedule.meterAt = now + meterInterval + c.backoff.delay
		c.recordMeters(now)
	}
	requests := c.outbox
	c.outbox = nil
	return requests
}

// HandleResponse takes a response, and returns its meaning for the caller. A response to a request that is not pending means
// nothing.
func (c *Client) HandleResponse(now float64, response *protocol.Response) Outcome {
	pending := c.pending[response.RequestID]
	if pending == nil {
		return Outcome{}
	}
	delete(c.pending, response.RequestID)
	failed := response.NotLeader || response.Unknown
	c.backoff.update(now, failed)
	if !failed && response.Reply.Code == statemachine.LeaseExpired && pending.command.Holder == c.Holder() {
		c.loseLease(now)
	}
	return c.complete(pending, response, failed)
}

// complete takes the response to a request that was pending.
func (c *Client) complete(pending *pendingRequest, response *protocol.Response, failed bool) Outcome {
	done := !failed && response.Reply.Code == statemachine.Done
	outcome := Outcome{
		RequestID: response.RequestID,
		Total:     response.Reply.Total,
		Rejected:  response.NotLeader,
		Unknown:   response.Unknown,
	}
	switch pending.kind {
	case reportUsage:
		outcome.Kind = UsageReported
		outcome.Unknown = response.Unknown || !failed && !done
		return outcome
	case acquireMarker:
		outcome.Kind = markerOutcome(failed, response.Reply.Code)
		return outcome
	case recordUnreported:
		c.unreportedRecorded(pending, response.RequestID, done)
	case meterUsage:
		c.meters.recorded(pending, response.RequestID, done)
	case queryFormerUnreported, queryFormerReported:
		c.formerUsageKnown(pending, response, failed)
	}
	return Outcome{}
}

func markerOutcome(failed bool, code statemachine.Code) OutcomeKind {
	switch {
	case !failed && code == statemachine.Done:
		return MarkerAcquired
	case !failed && code == statemachine.MarkerHeld:
		return MarkerHeld
	default:
		return MarkerUnknown
	}
}

// StreamLost says that the stream to the store ended: the results of pending requests are not known. It returns the outcomes
// of those that the caller waits for, in the order of their IDs.
func (c *Client) StreamLost() (outcomes []Outcome) {
	for _, id := range slices.Sorted(maps.Keys(c.pending)) {
		pending := c.pending[id]
		delete(c.pending, id)
		switch pending.kind {
		case reportUsage:
			outcomes = append(outcomes, Outcome{Kind: UsageReported, RequestID: id, Unknown: true})
		case acquireMarker:
			outcomes = append(outcomes, Outcome{Kind: MarkerUnknown, RequestID: id, Unknown: true})
		case recordUnreported:
			c.recordLost(pending, id)
		case meterUsage:
			c.meters.lost(pending, id)
		case queryFormerUnreported, queryFormerReported:
			c.formerQueryLost(pending)
		}
	}
	c.outbox = nil
	return outcomes
}

// NextLogLine returns a line for the log; "": there is none.
func (c *Client) NextLogLine() string {
	if len(c.logLines) == 0 {
		return ""
	}
	line := c.logLines[0]
	c.logLines = c.logLines[1:]
	return line
}
