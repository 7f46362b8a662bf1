// Package client is what one api gateway has keepers hold for it: its part of each count, what it owes and has not told,
// marks of deliveries that must not run twice, and use. It says what to ask and what an answer means; it must never do I/O
// or read a clock, and never ask for the same amount under two names of its own.
//
// A part of a count is told as a sum, not as an add: told twice or late it changes nothing, and what is owed beside it can be
// put back by others without being counted twice (docs/copies.md).
package client

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

const (
	renewing = 1.0  // seconds between words that the holder is there
	owing    = 0.1  // seconds between words on what is owed
	using    = 0.25 // seconds between words on use
	keeping  = 70.0 // seconds for which a name is remembered: longer than any lives
	epoch    = 60.0 // seconds after which use is counted under another name, so that customers can be forgotten
	markLife = 60.0 // seconds for which a mark is held at least
)

// What an answer means.
type OutcomeKind int

const (
	NoOutcome  OutcomeKind = iota
	UsageReported       // Total is a count's; Refused or Unknown say that there is none
	MarkerAcquired        // a delivery may begin
	MarkerHeld        // another has begun one
	MarkerUnknown      // nothing is known of the mark: no delivery may begin
)

// Word is an answer's meaning, for the number that was asked.
type Outcome struct {
	Kind    OutcomeKind
	RequestID  uint64
	Total   float64
	Rejected bool // nothing was added
	Unknown bool
}

type kind int

const (
	putting kind = iota
	marking
	unmarking
	renew
	owe
	use
	oldOwe // of a holder that was given up: what others put back for it
	oldPut
)

type asked struct {
	kind  kind
	name  string
	entry statemachine.Command
}

// account is this api gateway's part of a count.
type account struct {
	sum, places     float64 // told in all, places with it; what of it stands for open places
	owed            float64 // let in and not told
	life            float64
	noted           float64 // what was last noted as owed in all
	isNoted         bool
	noting          uint64 // the word on it that is out
	seen            float64
	old             string // the holder under which it was given up; "": none
	oldOwed, oldSum float64
	answers         int // of the two questions on that
}

type usage struct {
	sum, noted float64
	out        uint64
}

// Lodge is one api gateway's.
type Client struct {
	name                  string
	lives                 int
	number                uint64
	order                 uint64
	out                   map[uint64]*asked
	names                 map[string]*account
	uses                  map[string]*usage
	epochs                int
	epochAt               float64
	renewAt, oweAt, useAt float64
	wait                  float64 // on top, while words are turned away: what all say again must not be what keeps the keepers down
	waitAt                float64
	asks                  []protocol.Request
	lines                 []string
	// Given counts how often this api gateway was given up by the keepers though it lived.
	LeaseLosses int
}

// New makes it; name is of this life of this api gateway, and of no other.
func New(name string) *Client {
	return &Client{name: name, out: map[uint64]*asked{}, names: map[string]*account{}, uses: map[string]*usage{}}
}

// Holder is under which name the keepers know it at present.
func (l *Client) Holder() string { return l.name + "." + strconv.Itoa(l.lives) }

func (l *Client) ask(k kind, name string, e statemachine.Command) uint64 {
	l.number++
	if e.Holder == "" {
		e.Holder = l.Holder()
	}
	l.out[l.number] = &asked{k, name, e}
	l.asks = append(l.asks, protocol.Request{ID: l.number, Command: e})
	return l.number
}

func (l *Client) account(now float64, name string, life float64) *account {
	a := l.names[name]
	if a == nil {
		a = &account{life: life}
		l.names[name] = a
	}
	a.seen = now
	return a
}

// Put has an amount added to a count; places is what all open places on it stand for, those of the amount included. False:
// it can't be told now.
func (l *Client) ReportUsage(now float64, name string, amount, places, life float64) (number uint64, opened float64, ok bool) {
	a := l.account(now, name, life)
	if a.old != "" {
		return 0, 0, false
	}
	opened = places - a.places
	a.sum, a.places = a.sum+amount, places
	l.order++
	return l.ask(putting, name, statemachine.Command{Kind: statemachine.ReportUsage, Key: name, Amount: a.sum, Reserved: a.places, Version: l.order, TTL: life}), opened, true
}

// Missed: what was told with a number will be told again, as the deciding module owes it once more; opened of it stays told if
// stays.
func (l *Client) RetractUsage(name string, amount, opened float64, stays bool) {
	a := l.names[name]
	if a == nil {
		return
	}
	if stays {
		a.sum -= amount - opened
		return
	}
	a.sum, a.places = a.sum-amount, a.places-opened
}

// Owes notes what the module owes a count beside what it has told.
func (l *Client) SetUnreported(now float64, name string, units, life float64) {
	l.account(now, name, life).owed = units
}

// Settled is called before Owes tells of all debts: those not told of are none.
func (l *Client) ClearUnreported() {
	for _, a := range l.names {
		a.owed = 0
	}
}

// Mark asks whether a delivery of an invocation may begin. scope says where a repeat is harmless; "": nowhere.
func (l *Client) AcquireMarker(ref, scope string, life float64) uint64 {
	return l.ask(marking, ref, statemachine.Command{Kind: statemachine.AcquireMarker, Key: ref, Scope: scope, TTL: max(markLife, 2*life)})
}

// Unmark says that nothing of an invocation ever ran.
func (l *Client) ReleaseMarker(ref string) {
	l.ask(unmarking, ref, statemachine.Command{Kind: statemachine.ReleaseMarker, Key: ref})
}

// Used counts what a customer has used.
func (l *Client) MeterUsage(customer string, units float64) {
	if units <= 0 {
		return
	}
	u := l.uses[customer]
	if u == nil {
		u = &usage{}
		l.uses[customer] = u
	}
	u.sum += units
}

// Turn gives what is to be asked now.
func (l *Client) TakeRequests(now float64) []protocol.Request {
	if now >= l.renewAt {
		l.renewAt = now + renewing
		l.ask(renew, "", statemachine.Command{Kind: statemachine.RenewLease, TTL: 3 * renewing})
	}
	if now >= l.oweAt {
		l.oweAt = now + owing + l.wait
		l.note(now)
	}
	if now >= l.useAt {
		l.useAt = now + using + l.wait
		l.count(now)
	}
	all := l.asks
	l.asks = nil
	return all
}

// note tells of what is owed, where that has changed.
func (l *Client) note(now float64) {
	for _, name := range l.sorted() {
		a := l.names[name]
		if a.old != "" {
			if a.answers == 0 { // or once more, after a stream broke
				l.asking(name, a)
			}
			continue
		}
		if now-a.seen > keeping && a.owed == 0 {
			delete(l.names, name)
			continue
		}
		due := a.sum - a.places + a.owed
		// With nothing owed a note is needed only where less is due than was noted, as units were taken off: others would put
		// the rest back. One that is lower than what was told puts nothing back.
		if a.noting != 0 || a.owed == 0 && !(a.isNoted && !(a.noted <= due)) || a.isNoted && a.noted == due {
			continue
		}
		l.order++
		a.noting = l.ask(owe, name, statemachine.Command{Kind: statemachine.RecordUnreported, Key: name, Amount: due, Version: l.order, TTL: a.life})
	}
}

func (l *Client) sorted() []string {
	return slices.Sorted(maps.Keys(l.names))
}

// count tells of use. Customers are forgotten with their epoch, once all of it is held.
func (l *Client) count(now float64) {
	if now-l.epochAt > epoch && !slices.ContainsFunc(l.customers(), func(c string) bool { return l.uses[c].noted < l.uses[c].sum }) {
		l.epochs, l.epochAt = l.epochs+1, now
		clear(l.uses)
	}
	for _, c := range l.customers() {
		u := l.uses[c]
		if u.out == 0 && u.noted < u.sum {
			u.out = l.ask(use, c, statemachine.Command{Kind: statemachine.MeterUsage, Key: c, Amount: u.sum, Holder: fmt.Sprintf("%s/%d", l.name, l.epochs)})
		}
	}
}

func (l *Client) customers() []string {
	return slices.Sorted(maps.Keys(l.uses))
}

// Heard takes an answer.
func (l *Client) HandleResponse(now float64, r *protocol.Response) Outcome {
	a := l.out[r.RequestID]
	if a == nil {
		return Outcome{}
	}
	delete(l.out, r.RequestID)
	failed := r.NotLeader || r.Unknown
	l.pace(now, failed)
	w := Outcome{RequestID: r.RequestID, Total: r.Reply.Total, Rejected: r.NotLeader, Unknown: r.Unknown}
	if !failed && r.Reply.Code == statemachine.LeaseExpired && a.entry.Holder == l.Holder() {
		l.given(now)
	}
	switch a.kind {
	case putting:
		w.Kind = UsageReported
		if !failed && r.Reply.Code != statemachine.Done {
			w.Unknown = true
		}
		return w
	case marking:
		switch {
		case failed || r.Reply.Code != statemachine.Done && r.Reply.Code != statemachine.MarkerHeld:
			w.Kind = MarkerUnknown
		case r.Reply.Code == statemachine.MarkerHeld:
			w.Kind = MarkerHeld
		default:
			w.Kind = MarkerAcquired
		}
		return w
	case owe:
		if x := l.names[a.name]; x != nil && x.noting == r.RequestID {
			x.noting = 0
			x.noted, x.isNoted = a.entry.Amount, true
			if failed || r.Reply.Code != statemachine.Done {
				x.noted = math.NaN() // it may be held or not: said again
			}
		}
	case use:
		if u := l.uses[a.name]; u != nil && u.out == r.RequestID {
			u.out = 0
			if !failed && r.Reply.Code == statemachine.Done {
				u.noted = max(u.noted, a.entry.Amount)
			}
		}
	case oldOwe, oldPut:
		l.learned(a, r, failed)
	}
	return Outcome{}
}

// pace says less while words are turned away or lost, and as before once they are taken.
func (l *Client) pace(now float64, failed bool) {
	if !failed {
		l.wait = 0
	} else if now >= l.waitAt {
		l.wait, l.waitAt = min(2, max(0.2, 2*l.wait)), now+0.2
	}
}

// given: the keepers have given this api gateway up, as nothing of it came through for long. What it owed is put back by
// them; it goes on under another name, and asks for each count how much of its own is in it.
func (l *Client) given(now float64) {
	l.LeaseLosses++
	l.lines = append(l.lines, fmt.Sprintf("copies: given up as %s, %d counts are asked for again", l.Holder(), len(l.names)))
	old := l.Holder()
	l.lives++
	l.renewAt = now
	for _, name := range l.sorted() {
		a := l.names[name]
		a.noted, a.isNoted, a.noting = 0, false, 0
		if a.sum == 0 && a.owed == 0 && a.places == 0 {
			delete(l.names, name)
			continue
		}
		if a.old == "" {
			a.old, a.oldOwed, a.oldSum = old, 0, 0
		}
		l.asking(name, a)
	}
}

func (l *Client) asking(name string, a *account) {
	a.answers = 2
	l.ask(oldOwe, name, statemachine.Command{Kind: statemachine.RecordUnreported, Key: name, Holder: a.old, TTL: a.life})
	l.ask(oldPut, name, statemachine.Command{Kind: statemachine.ReportUsage, Key: name, Holder: a.old, TTL: a.life})
}

// learned: what of a count is this one's under its former name, now or once it is put back. The rest is told under the new.
func (l *Client) learned(q *asked, r *protocol.Response, failed bool) {
	a := l.names[q.name]
	if a == nil || a.old != q.entry.Holder || a.answers == 0 {
		return
	}
	if failed || r.Reply.Code != statemachine.LeaseExpired {
		a.answers = 0 // asked again with the next notes
		return
	}
	if q.kind == oldOwe {
		a.oldOwed = r.Reply.HolderTotal
	} else {
		a.oldSum = r.Reply.HolderTotal
	}
	if a.answers--; a.answers > 0 {
		return
	}
	a.sum = a.sum - max(a.oldOwed, a.oldSum)
	a.old = ""
}

// Broken: the stream to the keeper ended; what was asked and not answered is not known. It gives the numbers of counts and
// marks of which nothing will be heard.
func (l *Client) StreamLost() (words []Outcome) {
	for _, n := range slices.Sorted(maps.Keys(l.out)) {
		a := l.out[n]
		delete(l.out, n)
		switch a.kind {
		case putting:
			words = append(words, Outcome{Kind: UsageReported, RequestID: n, Unknown: true})
		case marking:
			words = append(words, Outcome{Kind: MarkerUnknown, RequestID: n, Unknown: true})
		case owe:
			if x := l.names[a.name]; x != nil && x.noting == n {
				x.noting, x.noted = 0, math.NaN()
			}
		case use:
			if u := l.uses[a.name]; u != nil && u.out == n {
				u.out = 0
			}
		case oldOwe, oldPut:
			if x := l.names[a.name]; x != nil && x.old == a.entry.Holder {
				x.answers = 0
			}
		}
	}
	l.asks = nil
	return words
}

// Said gives a line for the log, "" where there is nothing new.
func (l *Client) NextLogLine() string {
	if len(l.lines) == 0 {
		return ""
	}
	line := l.lines[0]
	l.lines = l.lines[1:]
	return line
}
