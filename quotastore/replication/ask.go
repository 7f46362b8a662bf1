package replication

// This file owns what is asked at this keeper and its way to the group's leader: sessions, by which what is told twice is
// made once, telling again, and when it is given up. It must never say that nothing was done of what was sent.

import (
	"fmt"
	"slices"

	"otterseam/internal/mutation"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

const (
	again   = 0.3  // seconds without an answer after which it is told again
	patient = 0.4  // seconds for which it waits for a leader before it is refused
	limit   = 1.5  // seconds after which nothing is known of it
	awayFor = 1.0  // seconds without a leader after which a group counts as away, and calls are refused at once
	rested  = 15.0 // seconds after which a session that rests is told of
)

type askState struct {
	entry  statemachine.Command
	number uint64
	born   float64
	sentAt float64
	sends  int
	free   bool // needs no session
	probe  bool // told once
	then   func(Outcome, statemachine.Reply)
}

// lane is the way to one group.
type lane struct {
	core    *Node
	group   int
	lead    int // number of the keeper that leads; -1: not known
	term    uint64
	noLead  float64 // since when it isn't known
	session string
	nth     int
	state   laneState
	at      float64 // when the session was last used
	probeAt float64
	pending []*askState // in the order of their numbers
}

type laneState int

const (
	shut    laneState = iota // no session
	probing                  // the group's clock is asked for
	opening
	open
)

// Ask asks a group for something; then hears once what became of it, within a call of this keeper.
func (c *Node) Submit(group int, e statemachine.Command, then func(Outcome, statemachine.Reply)) {
	l := c.asks[group]
	c.numbers++
	a := &askState{entry: e, number: c.numbers, born: c.now, then: then}
	switch e.Kind {
	case statemachine.ReportUsage, statemachine.RenewLease, statemachine.RecordUnreported, statemachine.RecoverUnreported, statemachine.ClearUnreported, statemachine.MeterUsage, statemachine.CollectUsage:
		a.free = true // by what they say, they are made once however often they come
	}
	if c.cluster == 0 || l.away(c.now) {
		then(Rejected, statemachine.Reply{})
		return
	}
	l.pending = append(l.pending, a)
	l.push(c.now)
}

// GroupFor is the group that holds a name.
func (c *Node) GroupOf(name string) int { return GroupOf(name, c.terms.Groups) }

// Groups is how many there are.
func (c *Node) Groups() int { return c.terms.Groups }

// away says that the group has had no leader for long.
func (l *lane) away(now float64) bool { return l.lead < 0 && now-l.noLead > awayFor }

// led hears who leads.
func (l *lane) led(n int, term uint64) {
	if term < l.term {
		return
	}
	if l.lead != n || l.term != term {
		l.lead, l.term = n, term
		for _, a := range l.pending { // what the one before had may be lost: at once to this one
			if a.sends > 0 && !a.probe {
				a.sentAt = -1
			}
		}
		if l.state != open {
			l.state, l.probeAt = shut, 0
		}
	}
	l.push(l.core.now)
}

// look goes on with what waits.
func (l *lane) look(now float64) {
	if g := l.core.group[l.group]; g != nil && g.lead != 0 && g.term >= l.term {
		if n := g.leader(); n != l.lead || g.term != l.term {
			l.led(n, g.term)
		}
	} else if g != nil && l.lead == l.core.me && !g.leads {
		l.lead = -1
	}
	if l.lead >= 0 {
		l.noLead = now
		if l.lead != l.core.me && now-l.core.heard[l.lead] > 1 { // its keeper is away
			l.lead = -1
		}
	}
	for i := 0; i < len(l.pending); {
		a := l.pending[i]
		late := now-a.born > limit
		if a.sends == 0 && (late || now-a.born > patient && l.lead < 0 || l.away(now)) {
			l.pending = slices.Delete(l.pending, i, i+1)
			a.then(Rejected, statemachine.Reply{})
			continue
		}
		if late {
			l.pending = slices.Delete(l.pending, i, i+1)
			a.then(Unknown, statemachine.Reply{})
			continue
		}
		i++
	}
	if l.state == open && now-l.at > rested {
		l.at = now
		l.core.Submit(l.group, statemachine.Command{Kind: statemachine.Tick}, func(Outcome, statemachine.Reply) {})
	}
	l.push(now)
}

// push sends what has not been sent, or not been answered for long.
func (l *lane) push(now float64) {
	if l.lead < 0 || l.core.cluster == 0 {
		return
	}
	if l.state != open {
		l.begin(now)
	}
	var going []protocol.Request
	for _, a := range l.pending {
		if a.probe || now-a.sentAt < again && a.sends > 0 || !a.free && l.state != open {
			continue
		}
		a.sentAt = now
		a.sends++
		e := a.entry
		if !a.free {
			e.Session, e.Sequence, e.AckedBelow = l.session, a.number, l.low()
			if mutation.KeepNoSession && a.sends > 1 {
				e.Session = ""
			}
			l.at = now
		}
		going = append(going, protocol.Request{Group: l.group, ID: a.number, Command: e})
	}
	l.core.out(l.lead, going)
}

// low is the lowest number whose answer is still wanted.
func (l *lane) low() uint64 {
	for _, a := range l.pending {
		if !a.free {
			return a.number
		}
	}
	return l.core.numbers + 1
}

// begin gets a session: first the group's clock, by which an old wish for one would be known as such.
func (l *lane) begin(now float64) {
	if l.state != shut && now-l.probeAt < again {
		return
	}
	l.probeAt, l.state = now, probing
	l.core.numbers++
	probe := l.core.numbers
	l.core.probes(probe, l, func(r statemachine.Reply) {
		if l.state != probing {
			return
		}
		l.nth++
		l.session = fmt.Sprintf("%x.%x.%d.%d", uint64(l.core.id), l.core.run, l.group, l.nth)
		l.state, l.probeAt = opening, l.core.now
		l.core.numbers++
		l.core.probes(l.core.numbers, l, func(r statemachine.Reply) {
			if l.state != opening {
				return
			}
			if r.Code != statemachine.Done {
				l.state, l.probeAt = shut, l.core.now
				return
			}
			l.state, l.at = open, l.core.now
			l.push(l.core.now)
		})
		l.core.out(l.lead, []protocol.Request{{Group: l.group, ID: l.core.numbers, Command: statemachine.Command{Kind: statemachine.OpenSession, Session: l.session, Clock: r.Clock}}})
	})
	l.core.out(l.lead, []protocol.Request{{Group: l.group, ID: probe, Command: statemachine.Command{Kind: statemachine.Tick}}})
}

// probes notes what is to be done with an answer to something that is not told again.
func (c *Node) probes(number uint64, l *lane, then func(statemachine.Reply)) {
	a := &askState{number: number, born: c.now, sentAt: c.now, sends: 1, free: true, probe: true}
	a.then = func(how Outcome, r statemachine.Reply) {
		if how == Answered {
			then(r)
		}
	}
	l.pending = append(l.pending, a)
}

// out brings asks to a leader, which may be here.
func (c *Node) out(lead int, all []protocol.Request) {
	if len(all) == 0 {
		return
	}
	if lead == c.me {
		for i := range all {
			c.asked(c.me, &all[i])
		}
		return
	}
	for len(all) > 0 { // frames stay small enough not to hold up others
		n := min(len(all), 512)
		c.send(lead, &protocol.Frame{Kind: protocol.KindRequests, Requests: all[:n]}, false)
		all = all[n:]
	}
}

// asked takes what another keeper, or this one, wants of a group.
func (c *Node) asked(from int, a *protocol.Request) {
	if a.Group < 0 || a.Group >= c.terms.Groups {
		return
	}
	g := c.group[a.Group]
	if g != nil && g.ask(a.Command, asked{from, a.ID}) {
		return
	}
	lead := -1
	if g != nil {
		lead = g.leader()
	}
	c.replyTo(from, protocol.Response{Group: a.Group, RequestID: a.ID, NotLeader: true, Leader: lead})
}

func (c *Node) replyTo(to int, r protocol.Response) {
	switch {
	case to < 0:
	case to == c.me:
		c.replied(&r)
	default:
		if n := len(c.letters); n > 0 && c.letters[n-1].To == to && c.letters[n-1].Frame.Kind == protocol.KindResponses && len(c.letters[n-1].Frame.Responses) < 512 {
			c.letters[n-1].Frame.Responses = append(c.letters[n-1].Frame.Responses, r)
			return
		}
		c.send(to, &protocol.Frame{Kind: protocol.KindResponses, Responses: []protocol.Response{r}}, false)
	}
}

// replied takes an answer.
func (c *Node) replied(r *protocol.Response) {
	if r.Group < 0 || r.Group >= len(c.asks) {
		return
	}
	l := c.asks[r.Group]
	at := slices.IndexFunc(l.pending, func(a *askState) bool { return a.number == r.RequestID })
	if at < 0 {
		return
	}
	a := l.pending[at]
	if r.NotLeader {
		// What was not proposed was not done by this one; another may have it from an earlier telling.
		if a.probe {
			l.pending = slices.Delete(l.pending, at, at+1)
		} else {
			a.sentAt = c.now - again + 0.02
			if a.sends == 1 {
				a.sends = 0
			}
		}
		if l.lead >= 0 && r.Leader != l.lead {
			l.lead = r.Leader
			l.push(c.now)
		}
		return
	}
	switch {
	case r.Reply.Code == statemachine.UnknownSession && !a.free:
		if l.state == open {
			l.state, l.probeAt = shut, 0
		}
		if a.sends > 1 {
			break // an earlier telling may have been made while the session was known
		}
		a.sends, a.sentAt = 0, -1
		l.push(c.now)
		return
	case r.Reply.Code == statemachine.ResultDiscarded:
		return // an answer that nobody waits for
	}
	l.pending = slices.Delete(l.pending, at, at+1)
	if r.Reply.Code == statemachine.UnknownSession {
		a.then(Unknown, r.Reply)
		return
	}
	a.then(Answered, r.Reply)
}
