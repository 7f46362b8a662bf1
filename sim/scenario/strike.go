package scenario

// This file owns the form of what strikes processes and the links between them, and of what a script promises. It reads
// and checks; it must never strike.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// QuotaStore are the processes that hold for api gateways what has to outlive them.
type QuotaStore struct {
	Count    Span   `day:"count" unit:"n" min:"0" max:"9" def:"0" about:"how many; 0: the counter counts"`
	Replicas Span   `day:"copies" unit:"n" min:"1" max:"5" def:"3" about:"how many hold each part: 1, 3 or 5"`
	Groups   Span   `day:"groups" unit:"n" min:"1" max:"64" def:"8" about:"parts into which names are spread"`
	Lost     Span   `day:"lost" unit:"s" min:"1s" max:"1h" def:"3s" about:"a silent keeper's part is copied to another after this"`
	Disk     bool   `day:"disk" def:"true" about:"they have disks"`
	Holds    string `day:"holds" one:"all|adds" def:"all" about:"all: what an api gateway says of itself; adds: counts by the counter's protocol alone"`
}

// ProcessFault is a fault of a link between two processes, or of a process, at a moment or on an event.
type ProcessFault struct {
	Kind     string `day:"kind" about:"see the kinds of faults"`
	From     string `day:"from" def:"" about:"links: clients, edge *, or some as in edge 0,2"`
	To       string `day:"to" def:"" about:"links: counter, discovery, host *, host 0,2, edge * or edge 0,2"`
	Way      string `day:"way" one:"both|there|back" def:"both" about:"links: which direction is struck"`
	Edges    string `day:"edge" def:"" about:"processes: api gateways by number, as in 0,2; all; or empty, and part says how many"`
	Keeper   string `day:"keeper" def:"" about:"processes: keepers instead, by number, as in 0,2; *; leader: of most groups; some 2: drawn by the seed"`
	Part     Span   `day:"part" unit:"share" min:"0" max:"1" def:"1" about:"processes: part of all, drawn by the seed, where edge is empty; links: part of the datagrams that is struck"`
	At       Span   `day:"at" unit:"s" min:"0s" max:"24h" def:"0s" about:"when it begins, from the day's begin or from the event"`
	Lasts    Span   `day:"lasts" unit:"s" min:"0s" max:"24h" def:"0s" about:"how long; 0s: for good"`
	On       string `day:"on" def:"" about:"the event that it waits for; see the events"`
	Gateways string `day:"by" def:"" about:"of which api gateways the event is, as in 0,2; empty: of any"`
	Count    Span   `day:"count" unit:"n" min:"1" max:"1000000" def:"1" about:"the how many'th such event"`
	Text     string `day:"text" def:"" about:"event log: what the line holds"`
	Time     Span   `day:"time" unit:"s" min:"0s" max:"1m" def:"0s" about:"delay: how long; starve: the period"`
	Jitter   Span   `day:"jitter" unit:"s" min:"0s" max:"1m" def:"0s" about:"delay: mean of what comes on top"`
	Size     Span   `day:"size" unit:"x" min:"0" max:"1000000000" def:"0" about:"rate: bytes a second; full-disk: bytes a file may hold; starve: part of the time that is left"`
}

// Expectation is what has to hold at the end of a script.
type Expectation struct {
	Kind  string `day:"what" about:"see the promises"`
	Text  string `day:"text" def:"" about:"what the figure is of; see the promises"`
	Edge  string `day:"edge" def:"" about:"of which api gateways, as in 0,2; empty: of all"`
	From  Span   `day:"from" unit:"s" min:"0s" max:"24h" def:"0s" about:"from which second on"`
	Until Span   `day:"until" unit:"s" min:"0s" max:"24h" def:"24h" about:"up to which"`
	Min   Span   `day:"least" unit:"x" min:"0" max:"1000000000" def:"0" about:"at least so much"`
	Max   Span   `day:"most" unit:"x" min:"0" max:"1000000000" def:"1000000000" about:"at most so much"`
}

// NamedItem is something that a page lists.
type NamedItem struct{ Name, Description string }

// ProcessFaultKinds are the kinds of faults; those of links come first.
var ProcessFaultKinds = []NamedItem{
	{"drop", "nothing gets through; new connections never come up; datagrams are lost (part of them)"},
	{"stall", "connections are accepted and pass nothing on until it ends"},
	{"delay", "what passes takes time and jitter longer"},
	{"rate", "at most size bytes a second pass"},
	{"double", "datagrams come twice (part of them)"},
	{"disorder", "datagrams come later than the ones behind them (part of them), by time"},
	{"half-open", "the far side of each connection is ended, the near side isn't told"},
	{"reset", "connections are reset in the middle of the next message"},
	{"refuse", "new connections are refused"},
	{"kill", "SIGKILL; started again after lasts, if that is given"},
	{"wipe", "SIGKILL and its folder removed; started again, with an empty one, after lasts"},
	{"freeze", "SIGSTOP, then SIGCONT after lasts"},
	{"term", "SIGTERM; started again, once it has ended, after lasts"},
	{"start", "started, if it does not run"},
	{"twice", "started a second time under the same name"},
	{"full-disk", "its files can't grow beyond size bytes"},
	{"starve", "stopped and let go in turn, so that it runs for a part of the time"},
}

// links is how many of Strikes are of links.
const links = 9

// Events are what a fault can wait for. Each happens before what follows from it: the fault is in force first.
var Events = []NamedItem{
	{"taken", "a client's try has been sent to the api gateway"},
	{"called", "a call has reached the counter, which has not added yet"},
	{"added", "the counter has added and not answered"},
	{"delivery", "a delivery is whole at a host that has not seen it yet"},
	{"ran", "a host has begun to run a delivery"},
	{"answering", "a host has done its work and not answered"},
	{"told", "discovery tells of a change"},
	{"answered", "a client has its answer"},
	{"mail", "a datagram of the api gateway is on its way"},
	{"log", "a line of its log holds the text"},
}

// ExpectationKinds are the figures that a script can hold to bounds.
var ExpectationKinds = []NamedItem{
	{"served", "part of the value asked for inside quotas that was served in time"},
	{"served-value", "value served in time within quotas, a second"},
	{"throttled", "part of that value that was throttled"},
	{"errored", "part of that value that was errored, unanswered or broken"},
	{"beyond", "part of what was sent on that was beyond quotas"},
	{"deliveries", "deliveries begun, a second"},
	{"dials", "new connections to hosts, a second"},
	{"calls", "calls to the counter, a second"},
	{"tries", "tries of clients, in all"},
	{"log", "log lines that hold the text, in all"},
	{"struck", "faults that found something to strike, in all"},
	{"mail", "datagrams between api gateways, a second and api gateway"},
	{"runs", "api gateways that run at the end"},
	{"promised-lost", "keepers: things promised and not there at the end"},
	{"put-back-twice", "keepers: things counted more often than they were told"},
	{"second-effects", "invocations that may have run twice and must not"},
	{"kept-answers", "keepers: things they promised, in all"},
}

func named(list []NamedItem, name string) bool {
	return slices.ContainsFunc(list, func(n NamedItem) bool { return n.Name == name })
}

func known(list []NamedItem) string {
	var all []string
	for _, n := range list {
		all = append(all, n.Name)
	}
	return strings.Join(all, ", ")
}

// IsLinkFault says whether a kind of fault strikes links.
func IsLinkFault(kind string) bool { return named(ProcessFaultKinds[:links], kind) }

// ParseNumbers reads numbers such as "0,2"; "*", "all" and "" are all of n. Numbers from n on are an error.
func ParseNumbers(text string, n int) (in []int, err error) {
	if text == "*" || text == "all" || text == "" {
		for i := range n {
			in = append(in, i)
		}
		return in, nil
	}
	for _, t := range strings.Split(text, ",") {
		i, err := strconv.Atoi(strings.TrimSpace(t))
		if err != nil || i < 0 {
			return nil, fmt.Errorf("%q: numbers such as 0,2 are wanted, or *", text)
		}
		if i >= n {
			return nil, fmt.Errorf("%q: there are %d, from 0", text, n)
		}
		in = append(in, i)
	}
	return in, nil
}

// ParseLinkEnd reads one end of a link: what it is and which of them; n is how many api gateways and hosts there are.
func ParseLinkEnd(text string, gateways, hosts int) (what string, in []int, err error) {
	what, which, _ := strings.Cut(text, " ")
	switch what {
	case "counter", "discovery", "clients":
		if which != "" {
			return what, nil, fmt.Errorf("%q: there is one %s", text, what)
		}
		return what, nil, nil
	case "keeper":
		in, err = ParseNumbers(which, 9)
	case "edge":
		in, err = ParseNumbers(which, gateways)
	case "host":
		in, err = ParseNumbers(which, hosts)
	default:
		return what, nil, fmt.Errorf("%q is no end of a link: clients, counter, discovery, edge N, keeper N or host N", text)
	}
	return what, in, err
}

// strikes checks faults and promises.
func (r *reader) strikes(d *Scenario) {
	gateways, hosts := int(d.Fleet.Gateways.Lo), int(d.Fleet.Hosts.Lo)
	for i, s := range d.ProcessFaults {
		at := fmt.Sprintf("fault[%d]", i)
		if !named(ProcessFaultKinds, s.Kind) {
			r.fault(at+".kind", "%q is not known; there are %s", s.Kind, known(ProcessFaultKinds))
			continue
		}
		if IsLinkFault(s.Kind) {
			r.link(at, &s, gateways, hosts)
		} else {
			if s.From != "" || s.To != "" {
				r.fault(at+".from", "%s strikes a process: edge says which", s.Kind)
			}
			if _, err := ParseNumbers(s.Edges, gateways); err != nil {
				r.fault(at+".edge", "%v", err)
			}
			if s.Keeper != "" {
				r.keeper(at, &s, int(d.QuotaStore.Count.Lo))
			}
		}
		if s.On != "" && !named(Events, s.On) {
			r.fault(at+".on", "%q is no event; there are %s", s.On, known(Events))
		}
		if _, err := ParseNumbers(s.Gateways, gateways); err != nil {
			r.fault(at+".by", "%v", err)
		}
		if s.On == "log" && s.Text == "" {
			r.fault(at+".text", "the event log needs a text")
		}
		needs := func(kind string, given bool, key, what string) {
			if s.Kind == kind && !given {
				r.fault(at+"."+key, "%s needs %s", kind, what)
			}
		}
		needs("freeze", s.Lasts.Lo > 0, "lasts", "a time")
		needs("starve", s.Lasts.Lo > 0 && s.Size.Hi < 1, "size", "a time that it lasts, and a part of the time under 1")
		needs("delay", s.Time.Hi > 0 || s.Jitter.Hi > 0, "time", "a time or jitter")
		needs("disorder", s.Time.Hi > 0, "time", "a time")
		needs("rate", s.Size.Lo > 0, "size", "bytes a second")
		if s.On == "" && s.At.Lo > d.Length.Hi {
			r.fault(at+".at", "is after the day's end at %s", text("s", d.Length.Hi))
		}
	}
	for i, p := range d.Expectations {
		at := fmt.Sprintf("promise[%d]", i)
		if !named(ExpectationKinds, p.Kind) {
			r.fault(at+".what", "%q is not known; there are %s", p.Kind, known(ExpectationKinds))
		}
		if _, err := ParseNumbers(p.Edge, gateways); err != nil {
			r.fault(at+".edge", "%v", err)
		}
		if p.Edge != "" && p.Kind != "log" && p.Kind != "runs" {
			r.fault(at+".edge", "%s is of the whole fleet", p.Kind)
		}
		if p.Kind == "log" && p.Text == "" {
			r.fault(at+".text", "log needs a text")
		}
		if p.Min.Lo > p.Max.Hi || p.From.Lo >= p.Until.Hi {
			r.fault(at+".least", "can't be kept: its bounds cross")
		}
	}
}

func (r *reader) keeper(at string, s *ProcessFault, count int) {
	var n int
	_, drawn := fmt.Sscanf(s.Keeper, "some %d", &n)
	if s.Keeper != "leader" && (drawn != nil || n < 1 || n > count) {
		if _, err := ParseNumbers(s.Keeper, count); err != nil {
			r.fault(at+".keeper", "%v, leader, or some N", err)
		}
	}
	if s.Edges != "" || s.Kind == "twice" {
		r.fault(at+".keeper", "strikes keepers: neither edge nor twice goes with it")
	}
}

func (r *reader) link(at string, s *ProcessFault, gateways, hosts int) {
	from, _, err := ParseLinkEnd(s.From, gateways, hosts)
	if err != nil {
		r.fault(at+".from", "%v", err)
		return
	}
	to, _, err := ParseLinkEnd(s.To, gateways, hosts)
	if err != nil {
		r.fault(at+".to", "%v", err)
		return
	}
	if s.Edges != "" {
		r.fault(at+".edge", "%s strikes links: from and to say which", s.Kind)
	}
	mail := from == "edge" && to == "edge"
	if from == "keeper" && to == "keeper" {
		return
	}
	if from != "edge" && !(from == "clients" && to == "edge") || to == "clients" {
		r.fault(at+".from", "links go from clients to edges, and from edges to counter, discovery, hosts and edges")
	}
	only := slices.Contains([]string{"double", "disorder"}, s.Kind)
	never := slices.Contains([]string{"half-open", "reset", "refuse", "stall", "rate"}, s.Kind)
	if only && !mail || never && mail {
		r.fault(at+".kind", "%s can't strike the way from %s to %s", s.Kind, s.From, s.To)
	}
}
