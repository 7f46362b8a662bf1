// Package simadapter is the adapter between the line protocol and the deciding module, by way of drive. It keeps the
// instances and the lists of hosts and decides nothing.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"otterseam/gateway/membership"
	"otterseam/gateway/operatorconfig"
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/gateway/simprotocol"
)

// Run answers every batch on in until it ends.
func Run(in io.Reader, out io.Writer) error {
	operator, err := operatorconfig.Read()
	if err != nil {
		return err
	}
	p := &process{members: operator.MembershipShare(), damps: operator.Overload.Enabled, gateways: map[int]*instance{}, lists: map[int][]policy.HostEntry{}}
	r := bufio.NewReaderSize(in, 1<<20)
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 1 || (err == nil && len(line) > 0) {
			b, bad := simprotocol.ReadBatch(line)
			if bad != nil {
				return bad
			}
			if bad := p.batch(b); bad != nil {
				return bad
			}
			if _, bad := out.Write(p.reply.Line()); bad != nil {
				return bad
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

type process struct {
	members  float64 // part of the mail for membership, as the operator wishes
	damps    bool    // what all do while hosts don't answer is bounded, as the operator wishes
	gateways map[int]*instance
	lists    map[int][]policy.HostEntry
	reply    simprotocol.Reply
}

// instance writes what one api gateway decides as commands.
type instance struct {
	*policydriver.Driver
	reply *simprotocol.Reply
}

func (p *process) batch(b simprotocol.Batch) error {
	p.reply.Begin()
	for _, g := range b.Groups {
		p.reply.For(g.Who)
		if err := p.inbox(b.At, g); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) inbox(now float64, g simprotocol.Group) (err error) {
	defer func() {
		if r := recover(); r != nil {
			p.reply.Put("FAULT", fmt.Sprint("panic: ", r))
		}
	}()
	for _, m := range g.Inbox {
		if d, ok := m.(*simprotocol.Directory); ok {
			p.lists[d.Slot] = listed(d.Entries)
			continue
		}
		if c, ok := m.(*simprotocol.Create); ok {
			in := &instance{reply: &p.reply}
			c.Start.Members, c.Start.Damps = p.members, p.damps
			if err := in.create(c); err != nil {
				return err
			}
			p.gateways[g.Who] = in
			continue
		}
		in := p.gateways[g.Who]
		if in == nil {
			return fmt.Errorf("%T: instance %d has not been created", m, g.Who)
		}
		if _, ok := m.(*simprotocol.CrashNow); ok {
			delete(p.gateways, g.Who)
			continue
		}
		if d, ok := m.(*simprotocol.Discovery); ok {
			if d.Mode == "broken" {
				continue
			}
			list, ok := p.lists[d.Slot]
			if !ok {
				return fmt.Errorf("DISCOVERY: no list numbered %d", d.Slot)
			}
			in.UpdateHosts(now, list, d.Mode != "patch")
		} else {
			in.event(now, m)
		}
	}
	if in := p.gateways[g.Who]; in != nil {
		in.SetTimers(now)
	}
	return nil
}

func listed(entries []simprotocol.Entry) []policy.HostEntry {
	list := make([]policy.HostEntry, 0, len(entries))
	for _, e := range entries {
		list = append(list, policy.HostEntry{
			Addr: e.Host, Zone: e.Zone, Cell: e.Cell, State: e.State,
			StartedAt: e.Since, Weight: e.Weight,
		})
	}
	return list
}

func (in *instance) create(c *simprotocol.Create) (err error) {
	in.Driver, err = policydriver.New(in, func(out policy.Output) (*policy.Gateway, error) { return c.Start.Module(c.Seed, out) })
	if err == nil && c.Start.Registry == "on_request" {
		in.reply.Put("TRACK", true)
	}
	return err
}

// event turns one message into one call.
func (in *instance) event(now float64, m any) {
	switch m := m.(type) {
	case *simprotocol.JobIn:
		in.Accept(now, policy.Request{
			Ref: m.Ref, Operation: m.Class, Customer: m.Client,
			Plan: m.Plan, Units: m.Units, Deadline: m.Deadline, FirstGateway: m.First, GatewayCount: m.Width, ClientRetry: m.Options&2 != 0,
		})
	case *simprotocol.Verdict:
		in.AttemptEnded(now, m.Ref, m.Attempt, policy.AttemptResult{
			Outcome: policy.Outcome(m.How[0]),
			Final:   m.Done, Duration: m.Delay, ActualUnits: m.Actual,
		})
	case *simprotocol.Hangup:
		in.Driver.Abandon(now, m.Ref)
	case *simprotocol.Bell:
		in.TimerFired(now, m.Nonce)
	case *simprotocol.Message:
		in.PeerMessage(now, m.From, m.Data)
	case *simprotocol.Sum:
		in.CounterReplied(now, m.Name, policy.Outcome(m.How[0]), m.Sum, m.Delay)
	}
}

// The commands.

func (in *instance) Send(ref, host string, within float64) {
	in.reply.Put("PASS_ON", ref, within, host)
}

func (in *instance) Throttle(ref string, retryAfter float64) { in.reply.Put("SHED", ref, retryAfter) }
func (in *instance) Fail(ref string)                         { in.reply.Put("SURRENDER", ref) }
func (in *instance) SetTimer(nonce uint64, at float64)       { in.reply.Put("SCHEDULE", nonce, at) }
func (in *instance) CancelAttempt(ref string, number int)    { in.reply.Put("CALL_OFF", ref, number) }

func (in *instance) SendPeer(to int, text string) {
	if to == membership.Broadcast {
		in.reply.Put("ANNOUNCE", nil, text)
	} else {
		in.reply.Put("ANNOUNCE", to, text)
	}
}
func (in *instance) Log(text string) { in.reply.Put("TRACE", text) }
func (in *instance) AddCount(name uint64, amount, life float64) {
	in.reply.Put("BUMP", name, amount, life)
}
