package simprotocol

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// message is one of a batch. parse takes the values behind its name; an error gets the name as its Part.
type message interface {
	parse(values []json.RawMessage) error
}

// messages makes the message of each name.
var messages = map[string]func() message{
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

// The letters of outcomes, as policy.Outcome has them.
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

// Crash ends a gateway at once.
type Crash struct{}

func (m *Crash) parse([]json.RawMessage) error { return nil }

// HostList is a list of hosts, by a number that HostsChanged refers to until another list gets it.
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
			return &ParseError{Problem: fmt.Sprintf("unknown readiness %q", e.State)}
		}
		m.Entries = append(m.Entries, e)
	}
	return nil
}

// The modes of HostsChanged.
const (
	ModePatch  = "patch"      // the list holds changes
	ModeWhole  = "whole"      // the list is complete
	ModeStale  = "stale_copy" // the list is complete, and may be old
	ModeBroken = "broken"     // discovery can't be reached: there is no list
)

var hostModes = []string{ModePatch, ModeWhole, ModeStale, ModeBroken}

// HostsChanged is what discovery has.
type HostsChanged struct {
	Mode       string
	Generation uint64
	List       int
}

func (m *HostsChanged) parse(values []json.RawMessage) error {
	if err := parseValues(values, &m.Mode, &m.Generation, &m.List); err != nil {
		return err
	}
	if !slices.Contains(hostModes, m.Mode) {
		return &ParseError{Problem: fmt.Sprintf("unknown mode %q", m.Mode)}
	}
	return nil
}

// Request is an invocation that a client asks for.
type Request struct {
	Ref          string
	GatewayCount int // gateways that its customer comes in through, from FirstGateway on, counted round
	Units        float64
	Operation    string
	Customer     string
	Deadline     float64 // when its client gives up
	Plan         string
	Options      int // optionRetry
	FirstGateway int
}

// optionRetry of a Request says that its client has sent it before.
const optionRetry = 2

// IsRetry says that its client has sent it before.
func (m *Request) IsRetry() bool { return m.Options&optionRetry != 0 }

func (m *Request) parse(values []json.RawMessage) error {
	return parseValues(values, &m.Ref, &m.GatewayCount, &m.Units, &m.Operation, &m.Customer, &m.Deadline, &m.Plan,
		&m.Options, &m.FirstGateway)
}

// ResponseStarted says that a streamed response has begun.
type ResponseStarted struct {
	Ref     string
	Attempt int
	Host    string
	Delay   float64
}

func (m *ResponseStarted) parse(values []json.RawMessage) error {
	return parseValues(values, &m.Ref, &m.Attempt, &m.Host, &m.Delay)
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Ref      string
	Final    bool // the invocation is over
	Use      int
	Duration float64
	Host     string
	Units    float64 // that it really took
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

// ClientGone says that a client has left.
type ClientGone struct{ Ref string }

func (m *ClientGone) parse(values []json.RawMessage) error { return parseValues(values, &m.Ref) }

// TimerFired says that a timer ran out.
type TimerFired struct{ Nonce uint64 }

func (m *TimerFired) parse(values []json.RawMessage) error { return parseValues(values, &m.Nonce) }

// ProbeEnded says how a health check ended.
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

// PeerMessage is a message of another gateway.
type PeerMessage struct {
	From int
	Text string
}

func (m *PeerMessage) parse(values []json.RawMessage) error {
	return parseValues(values, &m.From, &m.Text)
}

// CounterReplied says how a call to the counter ended, and the total it gave.
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

func checkOutcome(outcome, known string) error {
	if len(outcome) == 1 && strings.Contains(known, outcome) {
		return nil
	}
	return &ParseError{Problem: fmt.Sprintf("unknown ending %q", outcome)}
}
