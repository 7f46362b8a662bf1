package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ParseError says what of a line is not valid.
type ParseError struct {
	Part    string // the batch, a message, or the name of one
	Problem string
	Err     error // the JSON error behind it, if there is one
}

func (e *ParseError) Error() string { return e.Part + ": " + e.Problem }

// Unwrap gives the JSON error behind it.
func (e *ParseError) Unwrap() error { return e.Err }

// Batch is one line in: what happened to some gateways at one moment.
type Batch struct {
	At     float64
	Groups []Group
}

// Group is what happened to one gateway, in the order of events. Lists of hosts that it brings are known to the whole process.
type Group struct {
	Gateway int   // "who"
	Inbox   []any // pointers to the types of messages.go
}

// ParseBatch parses one line. Errors are *ParseError.
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
		return Batch{}, &ParseError{Part: "batch", Problem: "no at_time: " + excerpt(line)}
	}
	batch := Batch{At: *raw.At, Groups: make([]Group, 0, len(raw.Groups))}
	for _, g := range raw.Groups {
		if g.Gateway == nil {
			return Batch{}, &ParseError{Part: "batch", Problem: "a group without who: " + excerpt(line)}
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
		return nil, &ParseError{Part: "message", Problem: "not an array with a name: " + excerpt(text), Err: err}
	}
	var name string
	if err := json.Unmarshal(parts[0], &name); err != nil {
		return nil, &ParseError{Part: "message", Problem: "its name is no string: " + excerpt(parts[0]), Err: err}
	}
	newMessage, known := messages[name]
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

// parseValues parses the values behind a message's name, in order; null leaves the zero value. More values than are wanted are
// passed over.
func parseValues(values []json.RawMessage, into ...any) error {
	if len(values) < len(into) {
		return &ParseError{Problem: fmt.Sprintf("%d values, %d wanted", len(values), len(into))}
	}
	for i, to := range into {
		if err := json.Unmarshal(values[i], to); err != nil {
			return &ParseError{Problem: fmt.Sprintf("value %d is of the wrong kind: %s", i+1, excerpt(values[i])), Err: err}
		}
	}
	return nil
}

// excerpt is the beginning of a text for an error.
func excerpt(text []byte) string {
	const most = 80
	if len(text) > most {
		return string(text[:most]) + "..."
	}
	return string(text)
}
