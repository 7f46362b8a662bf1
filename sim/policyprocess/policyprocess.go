// Package policyprocess owns a program that speaks the line protocol, such as an earlier build of bin/wirehost, and lets it
// decide for the api gateways of a day. It must never repair what the program says: nonsense ends the day.
package policyprocess

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strconv"
	"strings"

	"otterseam/gateway/membership"
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/simulation"
)

// Process decides by a program's answers.
type Process struct {
	name  string
	in    io.WriteCloser
	out   *bufio.Reader
	wait  func() error
	outs  map[int]policydriver.Output
	err   error
	last  string // the last line that came
	lines int
}

// Start starts a program; its name in figures and errors is the path.
func Start(path string) (*Process, error) {
	c := exec.Command(path)
	in, err := c.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("wire:%s: %w", path, err)
	}
	return Attach("wire:"+path, in, out, c.Wait), nil
}

// Attach takes a program's pipes; wait is called when it is let go.
func Attach(name string, in io.WriteCloser, out io.Reader, wait func() error) *Process {
	return &Process{name: name, in: in, out: bufio.NewReaderSize(out, 1<<20), wait: wait, outs: map[int]policydriver.Output{}}
}

func (p *Process) Name() string { return p.name }

// Err is what ended the program's part in the day.
func (p *Process) Err() error { return p.err }

// Close closes its input, on which it ends.
func (p *Process) Close() {
	p.in.Close()
	p.wait()
}

// NewPolicy makes an instance in the program.
func (p *Process) NewPolicy(w *simulation.Simulation, slot int, seed uint64, out policydriver.Output) (gatewaymodel.Policy, error) {
	m := &mind{p: p, who: slot}
	if p.outs[slot] != nil {
		m.put("CRASH_NOW")
	}
	p.outs[slot] = out
	settings, err := json.Marshal(simulation.StartSettings(w.Day, slot))
	if err != nil {
		return nil, err
	}
	m.put("CREATE", seed, json.RawMessage(settings))
	m.fresh = true
	return m, p.err
}

// mind is one instance. What it is told waits until Settle, since all of one moment is one batch.
type mind struct {
	p     *Process
	who   int
	inbox bytes.Buffer
	fresh bool // it has had no list yet
}

func (m *mind) put(name string, values ...any) {
	if m.inbox.Len() > 0 {
		m.inbox.WriteByte(',')
	}
	m.inbox.WriteString(`["` + name + `"`)
	for _, v := range values {
		m.inbox.WriteByte(',')
		switch v := v.(type) {
		case float64: // the shortest text that reads back as the same number
			m.inbox.WriteString(strconv.FormatFloat(v, 'g', -1, 64))
		default:
			b, err := json.Marshal(v)
			if err != nil {
				b = []byte("null")
			}
			m.inbox.Write(b)
		}
	}
	m.inbox.WriteByte(']')
}

func (m *mind) UpdateHosts(now float64, list []policy.HostEntry, whole bool) {
	rows := make([][]any, len(list))
	for i, l := range list {
		rows[i] = []any{l.Addr, l.Zone, "host", l.Cell, l.State, l.Weight, l.StartedAt}
	}
	mode := "patch"
	if whole {
		mode = "whole"
	}
	if m.fresh {
		mode, m.fresh = "stale_copy", false
	}
	m.put("DIRECTORY", 0, rows)
	m.put("DISCOVERY", mode, 1, 0)
}

func (m *mind) Accept(now float64, a policy.Request) {
	options := 0
	if a.ClientRetry {
		options = 2
	}
	m.put("JOB_IN", a.Ref, a.GatewayCount, a.Units, a.Operation, a.Customer, a.Deadline, a.Plan, options, a.FirstGateway)
}

func (m *mind) AttemptEnded(now float64, ref string, number int, e policy.AttemptResult) {
	m.put("VERDICT", ref, e.Final, 0, e.Duration, "", e.ActualUnits, number, string(e.Outcome), nil)
}

func (m *mind) Abandon(now float64, ref string)                { m.put("HANGUP", ref) }
func (m *mind) TimerFired(now float64, nonce uint64)           { m.put("BELL", nonce) }
func (m *mind) PeerMessage(now float64, from int, text string) { m.put("MESSAGE", from, text) }
func (m *mind) CounterReplied(now float64, name uint64, how policy.Outcome, sum, took float64) {
	m.put("SUM", string(how), sum, name, took)
}

// Settle sends the batch and carries out what is answered.
func (m *mind) SetTimers(now float64) {
	if m.p.err != nil || m.inbox.Len() == 0 {
		m.inbox.Reset()
		return
	}
	line := fmt.Sprintf(`{"at_time":%s,"gateways":[{"who":%d,"inbox":[%s]}]}`+"\n", strconv.FormatFloat(now, 'g', -1, 64), m.who, m.inbox.Bytes())
	m.inbox.Reset()
	m.p.ask(line)
}

func (p *Process) fail(what string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf("%s: %s; its line %d was %.200q", p.name, fmt.Sprintf(what, args...), p.lines, p.last)
	}
}

func (p *Process) ask(line string) {
	_, werr := io.WriteString(p.in, line) // one that has ended may have said why
	answer, err := p.out.ReadBytes('\n')
	if err != nil || werr != nil {
		p.fail("has ended in the middle of the day (%v)", errors.Join(werr, err))
		return
	}
	p.lines++
	p.last = strings.TrimSpace(string(answer))
	var reply struct {
		Gateways []struct {
			Who  int                 `json:"who"`
			Cmds [][]json.RawMessage `json:"cmds"`
		} `json:"gateways"`
	}
	if err := json.Unmarshal(answer, &reply); err != nil {
		p.fail("answers what is no reply: %v", err)
		return
	}
	for _, g := range reply.Gateways {
		out := p.outs[g.Who]
		if out == nil {
			p.fail("acts for api gateway %d, which there is not", g.Who)
			return
		}
		for _, c := range g.Cmds {
			if p.command(out, c); p.err != nil {
				return
			}
		}
	}
}

func (p *Process) command(out policydriver.Output, c []json.RawMessage) {
	var name string
	if len(c) == 0 || json.Unmarshal(c[0], &name) != nil {
		p.fail("answers a command without a name")
		return
	}
	read := func(into ...any) bool {
		for i, to := range into {
			if i+1 < len(c) && json.Unmarshal(c[i+1], to) != nil || i+1 >= len(c) && i == 0 {
				p.fail("%s: value %d makes no sense", name, i+1)
				return false
			}
		}
		return true
	}
	var ref, text string
	var x, y float64
	var n uint64
	var k int
	switch name {
	case "PASS_ON":
		if read(&ref, &x, &text) {
			out.Send(ref, text, x)
		}
	case "SHED":
		if read(&ref, &x) {
			out.Throttle(ref, x)
		}
	case "SURRENDER":
		if read(&ref) {
			out.Fail(ref)
		}
	case "CALL_OFF":
		if read(&ref, &k) {
			out.CancelAttempt(ref, k)
		}
	case "BUMP":
		if read(&n, &x, &y) {
			out.AddCount(n, x, y)
		}
	case "SCHEDULE":
		if read(&n, &x) {
			out.SetTimer(n, x)
		}
	case "ANNOUNCE":
		var one *int
		if read(&one, &text) {
			to := membership.Broadcast
			if one != nil {
				to = *one
			}
			out.SendPeer(to, text)
		}
	case "TRACE":
		if read(&text) {
			out.Log(text)
		}
	case "FAULT":
		read(&text)
		p.fail("has failed: %s", text)
	case "TRACK", "FETCH", "RELEASE": // the list comes by itself here, and connections at rest are the laboratory's
	default:
		p.fail("answers a command that the laboratory doesn't know: %s", name)
	}
}
