package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ParseError reports an invalid line.
type ParseError struct {
	Part    string // "batch", "message" or the name of a message
	Problem string
	Err     error // the underlying JSON error, if any
}

func (e *ParseError) Error() string { return e.Part + ": " + e.Problem }

// Unwrap returns the underlying JSON error, if any.
func (e *ParseError) Unwrap() error { return e.Err }

// Batch is one input line: the messages for some gateways at one point in time.
type Batch struct {
	At     float64
	Groups []Group
}

// Group holds the messages for one gateway, in the order of events. Host lists in it are valid for all gateways of the process.
type Group struct {
	Gateway int   // number of the gateway
	Inbox   []any // pointers to the message types of messages.go
}

// ParseBatch parses one line. Its errors are of type *ParseError.
func ParseBatch(line []byte) (Batch, error) {
	var raw struct {
		At     *float64 `json:"at_time"`
		Groups []struct {
			Gateway *int              `json:"who"`
			Inbox   []json.RawMessage `json:"inbox"`
		} `json:"gateways"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, &ParseError{Part: "batch", Problem: err.Error() + ": " + excerpt(line), Err: err}
	}
	if raw.At == nil {
		return Batch{}, &ParseError{Part: "batch", Problem: "missing at_time: " + excerpt(line)}
	}
	batch := Batch{At: *raw.At, Groups: make([]Group, 0, len(raw.Groups))}
	for _, g := range raw.Groups {
		if g.Gateway == nil {
			return Batch{}, &ParseError{Part: "batch", Problem: "group without who: " + excerpt(line)}
		}
		group := Group{Gateway: *g.Gateway, Inbox: make([]any, 0, len(g.Inbox))}
		for _, text := range g.Inbox {
			message, err := parseMessage(text)
			if err != nil {
				return Batch{}, err
			}
			group.Inbox = append(group.Inbox, message)
		}
		batch.Groups = append(batch.Groups, group)
	}
	return batch, nil
}

func parseMessage(text json.RawMessage) (any, error) {
	var parts []json.RawMessage
	err := json.Unmarshal(text, &parts)
	if err != nil || len(parts) == 0 {
		return nil, &ParseError{Part: "message", Problem: "not an array that begins with a name: " + excerpt(text), Err: err}
	}
	var name string
	if err := json.Unmarshal(parts[0], &name); err != nil {
		return nil, &ParseError{Part: "message", Problem: "the name is not a string: " + excerpt(parts[0]), Err: err}
	}
	newMessage, known := messageTypes[name]
	if !known {
		return nil, &ParseError{Part: "message", Problem: fmt.Sprintf("unknown name %q: %s", name, excerpt(text))}
	}
	m := newMessage()
	if err := m.parse(parts[1:]); err != nil {
		var parseErr *ParseError
		if errors.As(err, &parseErr) {
			parseErr.Part = name
		}
		return nil, err
	}
	return m, nil
}

// parseValues parses the values that follow a message's name, in order. A null leaves its target unchanged. Surplus values are
// ignored.
func parseValues(values []json.RawMessage, targets ...any) error {
	if len(values) < len(targets) {
		return &ParseError{Problem: fmt.Sprintf("got %d values, want %d", len(values), len(targets))}
	}
	for i, target := range targets {
		if err := json.Unmarshal(values[i], target); err != nil {
			return &ParseError{Problem: fmt.Sprintf("value %d has the wrong type: %s", i+1, excerpt(values[i])), Err: err}
		}
	}
	return nil
}

// excerpt returns the beginning of text for an error message.
func excerpt(text []byte) string {
	const maxLength = 80
	if len(text) > maxLength {
		return string(text[:maxLength]) + "..."
	}
	return string(text)
}
