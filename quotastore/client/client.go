package client

import (
	"maps"
	"slices"
	"strconv"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// Intervals and times to live, in seconds.
const (
	renewInterval  = 1.0  // between renewals of the lease
	leaseTTL       = 3.0  // of the lease
	recordInterval = 0.1  // between checks of unreported usage
	meterInterval  = 0.25 // between checks of metered usage
	accountTTL     = 70.0 // after which the account of an unused counter is deleted: longer than any counter lives
	epochLength    = 60.0 // after which usage is metered under another holder name, so that customers can be deleted
	minMarkerTTL   = 60.0 // minimum time to live of a marker
)

// OutcomeKind is the kind of an Outcome.
type OutcomeKind int

const (
	// NoOutcome means that the response concerns only the client itself.
	NoOutcome OutcomeKind = iota
	// UsageReported is the outcome of a report, with the counter's total unless it is Rejected or Unknown.
	UsageReported
	// MarkerAcquired means that a delivery may begin.
	MarkerAcquired
	// MarkerHeld means that another delivery has begun.
	MarkerHeld
	// MarkerUnknown means that the state of the marker is unknown, so that no delivery may begin.
	MarkerUnknown
)

// Outcome is the result of a request for the caller, who knows the request by its ID.
type Outcome struct {
	Kind      OutcomeKind
	RequestID uint64
	Total     float64 // of the counter
	Rejected  bool    // nothing was added to the counter
	Unknown   bool    // whether the amount was added is unknown
}

// requestKind is the purpose of a pending request.
type requestKind int

const (
	reportUsage requestKind = iota
	acquireMarker
	releaseMarker
	renewLease
	recordUnreported
	meterUsage
	queryFormerUnreported // queries the unreported usage recorded under a holder name whose lease expired
	queryFormerReported   // queries the amount reported under a holder name whose lease expired
)

// pendingRequest is a request whose response has not arrived.
type pendingRequest struct {
	kind    requestKind
	key     string // of the account, meter or marker; "": none
	command statemachine.Command
}

// Client is the state of one gateway process.
type Client struct {
	name        string
	lastID      uint64 // ID of the last request
	lastVersion uint64 // version of the last report or record
	pending     map[uint64]*pendingRequest
	outbox      []protocol.Request
	logLines    []string

	accounts map[string]*account // by the counter's key
	meters   meters
	schedule schedule
	backoff  backoff

	leaseLosses int // number of leases that expired; part of the holder name
}

// schedule holds the times of the next lease renewal, records and metered usage, in seconds.
type schedule struct {
	renewAt, recordAt, meterAt float64
}

// New returns the client of a gateway process. No earlier process may have used the name.
func New(name string) *Client {
	return &Client{
		name:     name,
		pending:  map[uint64]*pendingRequest{},
		accounts: map[string]*account{},
		meters:   meters{customers: map[string]*meter{}},
	}
}

// Holder returns the client's present holder name in the store.
func (c *Client) Holder() string { return c.name + "." + strconv.Itoa(c.leaseLosses) }

// LeaseLosses returns how often the lease expired while the gateway was alive.
func (c *Client) LeaseLosses() int { return c.leaseLosses }

// request queues a request and returns its ID. A command without a holder gets the client's holder name.
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

// AcquireMarker queues a request for the marker of an invocation, which a delivery needs to begin. scope is the scope within which
// a repeated delivery is harmless; "": none. ttl is the time to live of the invocation, in seconds. AcquireMarker returns the ID of
// the request.
func (c *Client) AcquireMarker(invocation, scope string, ttl float64) (id uint64) {
	return c.request(acquireMarker, invocation, statemachine.Command{
		Kind:  statemachine.AcquireMarker,
		Key:   invocation,
		Scope: scope,
		TTL:   max(minMarkerTTL, 2*ttl),
	})
}

// ReleaseMarker queues a request that releases the marker of an invocation that never ran.
func (c *Client) ReleaseMarker(invocation string) {
	c.request(releaseMarker, invocation, statemachine.Command{Kind: statemachine.ReleaseMarker, Key: invocation})
}

// TakeRequests returns the requests to send, including those that are due at this time, in seconds.
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

// HandleResponse processes a response and returns its outcome for the caller. A response to a request that is not pending is
// ignored.
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

// complete processes the response to a request that was pending.
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
		c.handleRecordResult(pending, response.RequestID, done)
	case meterUsage:
		c.meters.handleResult(pending, response.RequestID, done)
	case queryFormerUnreported, queryFormerReported:
		c.handleFormerUsage(pending, response, failed)
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

// StreamLost handles the end of the stream to the store, after which the results of pending requests are unknown. It returns the
// outcomes of the requests that the caller waits for, in the order of their IDs.
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
			c.handleLostRecord(pending, id)
		case meterUsage:
			c.meters.handleLoss(pending, id)
		case queryFormerUnreported, queryFormerReported:
			c.handleLostFormerQuery(pending)
		}
	}
	c.outbox = nil
	return outcomes
}

// NextLogLine removes and returns the next line for the log; "": there is none.
func (c *Client) NextLogLine() string {
	if len(c.logLines) == 0 {
		return ""
	}
	line := c.logLines[0]
	c.logLines = c.logLines[1:]
	return line
}
