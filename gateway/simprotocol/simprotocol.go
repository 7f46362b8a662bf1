// Package simprotocol reads and writes the line protocol: one JSON value a line, messages as arrays.
package simprotocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
)

// Batch is one line in: what happened to some instances at one moment.
type Batch struct {
	At     float64
	Groups []Group
}

// Group is the inbox of one instance. Lists are scoped to the process and stand in event order.
type Group struct {
	Who   int
	Inbox []any
}

type Create struct {
	Seed  uint64
	Start Start
}
type (
	CrashNow  struct{}
	Directory struct {
		Slot    int
		Entries []Entry
	}
)

type Entry struct {
	Host, Zone, Kind string
	Cell             int
	State            string
	Weight, Since    float64
}
type Discovery struct {
	Mode string
	Gen  uint64
	Slot int
}
type JobIn struct {
	Ref      string
	Width    int
	Units    float64
	Class    string
	Client   string
	Deadline float64
	Plan     string
	Options  int
	First    int
}
type Flowing struct {
	Ref     string
	Attempt int
	Host    string
	Delay   float64
}
type Verdict struct {
	Ref      string
	Done     bool
	Use      int
	Delay    float64
	Host     string
	Actual   float64
	Attempt  int
	How      string
	Pressure map[string]float64
}
type (
	Hangup     struct{ Ref string }
	Bell       struct{ Nonce uint64 }
	StatusBack struct {
		Host     string
		How      string
		Delay    float64
		Pressure map[string]float64
	}
)

type Message struct {
	From int
	Data string
}
type Sum struct {
	How   string
	Sum   float64
	Name  uint64
	Delay float64
}

// ReadBatch decodes one line.
func ReadBatch(line []byte) (Batch, error) {
	var raw struct {
		At     *float64 `json:"at_time"`
		Groups []struct {
			Who   *int              `json:"who"`
			Inbox []json.RawMessage `json:"inbox"`
		} `json:"gateways"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("batch: %v: %s", err, short(line))
	}
	if raw.At == nil {
		return Batch{}, fmt.Errorf("batch: no at_time: %s", short(line))
	}
	b := Batch{At: *raw.At, Groups: make([]Group, 0, len(raw.Groups))}
	for _, g := range raw.Groups {
		if g.Who == nil {
			return Batch{}, fmt.Errorf("batch: a group without who: %s", short(line))
		}
		grp := Group{Who: *g.Who, Inbox: make([]any, 0, len(g.Inbox))}
		for _, m := range g.Inbox {
			msg, err := readMessage(m)
			if err != nil {
				return Batch{}, err
			}
			grp.Inbox = append(grp.Inbox, msg)
		}
		b.Groups = append(b.Groups, grp)
	}
	return b, nil
}

func short(b []byte) string {
	if len(b) > 80 {
		return string(b[:80]) + "..."
	}
	return string(b)
}

// fields reads the values after the name, in order; null leaves the zero value.
func fields(name string, parts []json.RawMessage, into ...any) error {
	if len(parts) < len(into) {
		return fmt.Errorf("%s: %d values, %d wanted", name, len(parts), len(into))
	}
	for i, to := range into {
		if err := json.Unmarshal(parts[i], to); err != nil {
			return fmt.Errorf("%s: value %d is of the wrong kind: %s", name, i+1, short(parts[i]))
		}
	}
	return nil
}

func readMessage(raw json.RawMessage) (any, error) {
	var parts []json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil || len(parts) == 0 {
		return nil, fmt.Errorf("message: not an array with a name: %s", short(raw))
	}
	var name string
	if err := json.Unmarshal(parts[0], &name); err != nil {
		return nil, fmt.Errorf("message: its name is no string: %s", short(parts[0]))
	}
	p := parts[1:]
	switch name {
	case "CREATE":
		m := Create{}
		return &m, fields(name, p, &m.Seed, &m.Start)
	case "CRASH_NOW":
		return &CrashNow{}, nil
	case "DIRECTORY":
		m := Directory{}
		var rows [][]json.RawMessage
		if err := fields(name, p, &m.Slot, &rows); err != nil {
			return nil, err
		}
		for _, r := range rows {
			e := Entry{}
			if err := fields(name, r, &e.Host, &e.Zone, &e.Kind, &e.Cell, &e.State, &e.Weight, &e.Since); err != nil {
				return nil, err
			}
			if e.State != "active" && e.State != "leaving" && e.State != "left" {
				return nil, fmt.Errorf("DIRECTORY: unknown readiness %q", e.State)
			}
			m.Entries = append(m.Entries, e)
		}
		return &m, nil
	case "DISCOVERY":
		m := Discovery{}
		if err := fields(name, p, &m.Mode, &m.Gen, &m.Slot); err != nil {
			return nil, err
		}
		if m.Mode != "patch" && m.Mode != "whole" && m.Mode != "stale_copy" && m.Mode != "broken" {
			return nil, fmt.Errorf("DISCOVERY: unknown mode %q", m.Mode)
		}
		return &m, nil
	case "JOB_IN":
		m := JobIn{}
		return &m, fields(name, p, &m.Ref, &m.Width, &m.Units, &m.Class, &m.Client, &m.Deadline, &m.Plan,
			&m.Options, &m.First)
	case "FLOWING":
		m := Flowing{}
		return &m, fields(name, p, &m.Ref, &m.Attempt, &m.Host, &m.Delay)
	case "VERDICT":
		m := Verdict{}
		if err := fields(name, p, &m.Ref, &m.Done, &m.Use, &m.Delay, &m.Host, &m.Actual, &m.Attempt, &m.How,
			&m.Pressure); err != nil {
			return nil, err
		}
		return &m, ending(name, m.How, "SEFTCRXN")
	case "HANGUP":
		m := Hangup{}
		return &m, fields(name, p, &m.Ref)
	case "BELL":
		m := Bell{}
		return &m, fields(name, p, &m.Nonce)
	case "STATUS_BACK":
		m := StatusBack{}
		if err := fields(name, p, &m.Host, &m.How, &m.Delay, &m.Pressure); err != nil {
			return nil, err
		}
		return &m, ending(name, m.How, "SEFTCRXN")
	case "MESSAGE":
		m := Message{}
		return &m, fields(name, p, &m.From, &m.Data)
	case "SUM":
		m := Sum{}
		if err := fields(name, p, &m.How, &m.Sum, &m.Name, &m.Delay); err != nil {
			return nil, err
		}
		return &m, ending(name, m.How, "SFCT")
	}
	return nil, fmt.Errorf("message: unknown name %q: %s", name, short(raw))
}

func ending(name, how, known string) error {
	if len(how) == 1 && bytes.ContainsAny([]byte(known), how) {
		return nil
	}
	return fmt.Errorf("%s: unknown ending %q", name, how)
}

// Reply collects what one batch is answered with.
type Reply struct {
	buf   bytes.Buffer
	who   int
	open  bool // an instance's list has been begun
	first bool
}

// Begin starts the answer to one batch.
func (r *Reply) Begin() {
	r.buf.Reset()
	r.buf.WriteString(`{"gateways":[`)
	r.open, r.first = false, true
}

// For says whose commands follow.
func (r *Reply) For(who int) {
	r.end()
	r.who = who
}

func (r *Reply) end() {
	if r.open {
		r.buf.WriteString("]}")
		r.open = false
	}
}

// Put writes one command: its name and its values in order.
func (r *Reply) Put(name string, values ...any) {
	if !r.open {
		if !r.first {
			r.buf.WriteByte(',')
		}
		fmt.Fprintf(&r.buf, `{"who":%d,"cmds":[`, r.who)
		r.open, r.first = true, false
	} else {
		r.buf.WriteByte(',')
	}
	r.buf.WriteByte('[')
	r.buf.WriteString(strconv.Quote(name))
	for _, v := range values {
		r.buf.WriteByte(',')
		switch x := v.(type) {
		case float64:
			if math.IsNaN(x) || math.IsInf(x, 0) {
				x = 0
			}
			r.buf.WriteString(strconv.FormatFloat(x, 'f', -1, 64))
		case int:
			r.buf.WriteString(strconv.Itoa(x))
		case uint64:
			r.buf.WriteString(strconv.FormatUint(x, 10))
		default:
			s, err := json.Marshal(v)
			if err != nil {
				s = []byte("null")
			}
			r.buf.Write(s)
		}
	}
	r.buf.WriteByte(']')
}

// Line ends the reply and gives it, newline included.
func (r *Reply) Line() []byte {
	r.end()
	r.buf.WriteString("]}\n")
	return r.buf.Bytes()
}
