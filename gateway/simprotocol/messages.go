package simprotocol

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// message is one message of a batch. parse decodes the values that follow its name and leaves ParseError.Part to the caller,
// which sets it to that name.
type message interface {
	parse(values []json.RawMessage) error
}

// messageTypes maps the name of each message to its constructor.
var messageTypes = map[string]func() message{
	"CREATE":      func() message { return &Create{} },
	"CRASH_NOW":   func() message { return &Crash{} },
	"DIRECTORY":   func() message { return &HostList{} },
	"DISCOVERY":   func() message { return &HostsChanged{} },
	"JOB_IN":      func() message { return &Request{} },
	"FLOWING":     func() message { return &ResponseStarted{} },
	"VERDICT":     func() message { return &AttemptEnded{} },
	"HANGUP":      func() message { return &ClientGone{} },
	"BELL":        func() message { return &TimerFired{} },
	"STATUS_BACK": func() message { return &ProbeEnded{} },
	"MESSAGE":     func() message { return &PeerMessage{} },
	"SUM":         func() message { return &CounterReplied{} },
}

// The letters of the outcomes, as defined by policy.Outcome.
const (
	attemptOutcomes = "SEFTCRXN"
	counterOutcomes = "SFCT"
)

// Create starts a gateway.
type Create struct {
	Seed     uint64
	Settings Settings
}

func (m *Create) parse(values []json.RawMessage) error {
	return parseValues(values, &m.Seed, &m.Settings)
}

// Crash stops a gateway immediately and discards its state.
type Crash struct{}

func (m *Crash) parse([]json.RawMessage) error { return nil }

// HostList is a numbered list of hosts. HostsChanged refers to it by the number, which a later list may reuse.
type HostList struct {
	Number  int
	Entries []HostEntry
}

// HostEntry is a host of a HostList.
type HostEntry struct {
	Addr, Zone, Kind string
	Cell             int
	State            string // one of hostStates
	Weight           float64
	StartedAt        float64
}

var hostStates = []string{"active", "leaving", "left"}

func (m *HostList) parse(values []json.RawMessage) error {
	var rows [][]json.RawMessage
	if err := parseValues(values, &m.Number, &rows); err != nil {
		return err
	}
	for _, row := range rows {
		e := HostEntry{}
		if err := parseValues(row, &e.Addr, &e.Zone, &e.Kind, &e.Cell, &e.State, &e.Weight, &e.StartedAt); err != nil {
			return err
		}
		if !slices.Contains(hostStates, e.State) {
			return &ParseError{Problem: fmt.Sprintf("unknown host state %q", e.State)}
		}
		m.Entries = append(m.Entries, e)
	}
	return nil
}

// The modes of HostsChanged.
const (
	ModePatch  = "patch"      // the list holds changes only
	ModeWhole  = "whole"      // the list is complete
	ModeStale  = "stale_copy" // the list is complete and possibly outdated
	ModeBroken = "broken"     // discovery is unreachable and there is no list
)

var discoveryModes = []string{ModePatch, ModeWhole, ModeStale, ModeBroken}

// HostsChanged reports a host list or a change of it from discovery.
type HostsChanged struct {
	Mode       string
	Generation uint64
	List       int
}

func (m *HostsChanged) parse(values []json.RawMessage) error {
	if err := parseValues(values, &m.Mode, &m.Generation, &m.List); err != nil {
		return err
	}
	if !slices.Contains(discoveryModes, m.Mode) {
		return &ParseError{Problem: fmt.Sprintf("unknown mode %q", m.Mode)}
	}
	return nil
}

// Request is an invocation requested by a client.
type Request struct {
	Ref          string
	GatewayCount int // number of gateways that serve the customer, consecutive from FirstGateway and wrapping around
	Units        float64
	Operation    string
	Customer     string
	Deadline     float64 // time at which the client gives up
	Plan         string
	Options      int // flags, of which optionRetry is used
	FirstGateway int
}

// optionRetry is the bit of Request.Options that marks a repeat by the client.
const optionRetry = 2

// IsRetry reports whether the client has sent the request before.
func (m *Request) IsRetry() bool { return m.Options&optionRetry != 0 }

func (m *Request) parse(values []json.RawMessage) error {
	return parseValues(values, &m.Ref, &m.GatewayCount, &m.Units, &m.Operation, &m.Customer, &m.Deadline, &m.Plan,
		&m.Options, &m.FirstGateway)
}

// ResponseStarted reports the start of a streamed response.
type ResponseStarted struct {
	Ref     string
	Attempt int
	Host    string
	Delay   float64
}

func (m *ResponseStarted) parse(values []json.RawMessage) error {
	return parseValues(values, &m.Ref, &m.Attempt, &m.Host, &m.Delay)
}

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	Ref      string
	Final    bool // the invocation is over
	Use      int
	Duration float64
	Host     string
	Units    float64 // units actually consumed
	Attempt  int
	Outcome  string // one letter of attemptOutcomes
	Pressure map[string]float64
}

func (m *AttemptEnded) parse(values []json.RawMessage) error {
	err := parseValues(values, &m.Ref, &m.Final, &m.Use, &m.Duration, &m.Host, &m.Units, &m.Attempt, &m.Outcome, &m.Pressure)
	if err != nil {
		return err
	}
	return checkOutcome(m.Outcome, attemptOutcomes)
}

// ClientGone reports that the client of an invocation disconnected.
type ClientGone struct{ Ref string }

func (m *ClientGone) parse(values []json.RawMessage) error { return parseValues(values, &m.Ref) }

// TimerFired reports that a timer expired.
type TimerFired struct{ Nonce uint64 }

func (m *TimerFired) parse(values []json.RawMessage) error { return parseValues(values, &m.Nonce) }

// ProbeEnded reports the outcome of a health check.
type ProbeEnded struct {
	Host     string
	Outcome  string // one letter of attemptOutcomes
	Duration float64
	Pressure map[string]float64
}

func (m *ProbeEnded) parse(values []json.RawMessage) error {
	if err := parseValues(values, &m.Host, &m.Outcome, &m.Duration, &m.Pressure); err != nil {
		return err
	}
	return checkOutcome(m.Outcome, attemptOutcomes)
}

// PeerMessage is a message from another gateway.
type PeerMessage struct {
	From int
	Text string
}

func (m *PeerMessage) parse(values []json.RawMessage) error {
	return parseValues(values, &m.From, &m.Text)
}

// CounterReplied reports the outcome of a call to the counter, and the total that the counter returned.
type CounterReplied struct {
	Outcome  string // one letter of counterOutcomes
	Total    float64
	Name     uint64
	Duration float64
}

func (m *CounterReplied) parse(values []json.RawMessage) error {
	if err := parseValues(values, &m.Outcome, &m.Total, &m.Name, &m.Duration); err != nil {
		return err
	}
	return checkOutcome(m.Outcome, counterOutcomes)
}

func checkOutcome(outcome, allowed string) error {
	if len(outcome) == 1 && strings.Contains(allowed, outcome) {
		return nil
	}
	return &ParseError{Problem: fmt.Sprintf("unknown outcome %q", outcome)}
}
