// Package wirehost is the adapter between the line protocol and the deciding module. It keeps the
// timers and the invocations in hand and decides nothing.
package wirehost

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"otterseam/choice"
	"otterseam/wire"
)

// Run answers every batch on in until it ends.
func Run(in io.Reader, out io.Writer) error {
	p := &process{gateways: map[int]*instance{}, lists: map[int][]choice.Listed{}}
	r := bufio.NewReaderSize(in, 1<<20)
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 1 || (err == nil && len(line) > 0) {
			b, bad := wire.ReadBatch(line)
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
	gateways map[int]*instance
	lists    map[int][]choice.Listed
	reply    wire.Reply
}

// instance is one api gateway with its invocations in hand and its one timer.
type instance struct {
	reply *wire.Reply
	gw    *choice.Gateway
	invs  map[string]*choice.Invocation
	bell  float64 // when the timer that is set falls due; 0: none
	nonce uint64
}

func (p *process) batch(b wire.Batch) error {
	p.reply.Begin()
	for _, g := range b.Groups {
		p.reply.For(g.Who)
		if err := p.inbox(b.At, g); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) inbox(now float64, g wire.Group) (err error) {
	defer func() {
		if r := recover(); r != nil {
			p.reply.Put("FAULT", fmt.Sprint("panic: ", r))
		}
	}()
	for _, m := range g.Inbox {
		if d, ok := m.(*wire.Directory); ok {
			p.lists[d.Slot] = listed(d.Entries)
			continue
		}
		if c, ok := m.(*wire.Create); ok {
			in := &instance{reply: &p.reply, invs: map[string]*choice.Invocation{}}
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
		if _, ok := m.(*wire.CrashNow); ok {
			delete(p.gateways, g.Who)
			continue
		}
		if d, ok := m.(*wire.Discovery); ok {
			if d.Mode == "broken" {
				continue
			}
			list, ok := p.lists[d.Slot]
			if !ok {
				return fmt.Errorf("DISCOVERY: no list numbered %d", d.Slot)
			}
			in.gw.Hosts(now, list, d.Mode != "patch")
		} else {
			in.event(now, m)
		}
		in.turns(now)
	}
	if in := p.gateways[g.Who]; in != nil {
		in.timer(now)
	}
	return nil
}

func listed(entries []wire.Entry) []choice.Listed {
	list := make([]choice.Listed, 0, len(entries))
	for _, e := range entries {
		list = append(list, choice.Listed{Addr: e.Host, Zone: e.Zone, Cell: e.Cell, State: e.State,
			Since: e.Since, Weight: e.Weight})
	}
	return list
}

func (in *instance) create(c *wire.Create) error {
	s, err := c.Start, error(nil)
	if in.gw, err = s.Module(c.Seed, in); err != nil {
		return err
	}
	if s.Registry == "on_request" {
		in.reply.Put("TRACK", true)
	}
	return nil
}

// event turns one message into one call.
func (in *instance) event(now float64, m any) {
	switch m := m.(type) {
	case *wire.JobIn:
		in.invs[m.Ref] = in.gw.Take(now, choice.Asked{Ref: m.Ref, Operation: m.Class, Customer: m.Client,
			Plan: m.Plan, Units: m.Units, GiveUp: m.Deadline, Width: m.Width, Repeat: m.Options&2 != 0})
	case *wire.Verdict:
		inv := in.invs[m.Ref]
		if inv == nil || m.Attempt < 0 || m.Attempt >= len(inv.Deliveries) {
			return
		}
		in.write(inv, in.gw.After(now, inv.Deliveries[m.Attempt], choice.Ended{How: choice.Outcome(m.How[0]),
			Over: m.Done, Took: m.Delay, Units: m.Actual}))
		in.drop(inv)
	case *wire.Hangup:
		if inv := in.invs[m.Ref]; inv != nil {
			in.gw.Gone(now, inv)
			in.drop(inv)
		}
	case *wire.Bell:
		if m.Nonce == in.nonce {
			in.bell = 0
		}
		in.gw.Tick(now)
	case *wire.Message:
		in.gw.Told(now, m.Data)
	case *wire.Sum:
		in.gw.Counted(now, m.Name, choice.Outcome(m.How[0]), m.Sum, m.Delay)
	}
}

// turns asks about each invocation whose turn it is.
func (in *instance) turns(now float64) {
	for inv := in.gw.Turn(now); inv != nil; inv = in.gw.Turn(now) {
		in.write(inv, in.gw.Where(now, inv))
		in.drop(inv)
	}
}

func (in *instance) write(inv *choice.Invocation, a choice.Answer) {
	switch a.Do {
	case choice.Send:
		in.reply.Put("PASS_ON", inv.Ref, a.Within, a.Host.Addr)
	case choice.Throttle:
		in.reply.Put("SHED", inv.Ref, a.RetryAfter)
	case choice.GiveUp:
		in.reply.Put("SURRENDER", inv.Ref)
	}
}

func (in *instance) drop(inv *choice.Invocation) {
	if inv.Finished() {
		delete(in.invs, inv.Ref)
	}
}

func (in *instance) timer(now float64) {
	w := in.gw.Wait(now)
	if in.bell > 0 && in.bell <= now+w {
		return
	}
	in.bell = now + w
	in.nonce++
	in.reply.Put("SCHEDULE", in.nonce, in.bell)
}

// What belongs to no single invocation leaves here.

func (in *instance) Count(name uint64, amount, life float64) {
	in.reply.Put("BUMP", name, amount, life)
}
func (in *instance) Cancel(d *choice.Delivery) { in.reply.Put("CALL_OFF", d.Inv.Ref, d.Number) }
func (in *instance) Tell(text string)          { in.reply.Put("ANNOUNCE", nil, text) }
func (in *instance) Log(text string)           { in.reply.Put("TRACE", text) }
