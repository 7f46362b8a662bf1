package scenario

import (
	"fmt"
	"slices"
)

// logEvent is the event, and the expectation, of a line in a log.
const logEvent = "log"

// checkProcessFault checks a fault of a script.
func (r *reader) checkProcessFault(key string, fault *ProcessFault, s *Scenario) {
	if !named(ProcessFaultKinds, fault.Kind) {
		r.problem(key+".kind", "%q is not known; there are %s", fault.Kind, known(ProcessFaultKinds))
		return
	}
	gateways := int(s.Fleet.Gateways.Lo)
	if IsLinkFault(fault.Kind) {
		r.checkLink(key, fault, gateways, int(s.Fleet.Hosts.Lo))
	} else {
		r.checkProcess(key, fault, gateways, int(s.QuotaStore.Count.Lo))
	}
	r.checkEvent(key, fault, gateways)
	r.checkFaultValues(key, fault)
	if fault.On == "" && fault.At.Lo > s.Length.Hi {
		r.problemAfterEnd(key, s)
	}
}

// checkProcess checks which processes a fault strikes.
func (r *reader) checkProcess(key string, fault *ProcessFault, gateways, stores int) {
	if fault.From != "" || fault.To != "" {
		r.problem(key+".from", "%s strikes a process: edge says which", fault.Kind)
	}
	if _, err := ParseNumbers(fault.Edges, gateways); err != nil {
		r.problem(key+".edge", "%v", err)
	}
	if fault.Keeper != "" {
		r.checkStores(key, fault, stores)
	}
}

// checkStores checks which quota stores a fault strikes.
func (r *reader) checkStores(key string, fault *ProcessFault, stores int) {
	if fault.Keeper != "leader" && !isDrawn(fault.Keeper, stores) {
		if _, err := ParseNumbers(fault.Keeper, stores); err != nil {
			r.problem(key+".keeper", "%v, leader, or some N", err)
		}
	}
	if fault.Edges != "" || fault.Kind == "twice" {
		r.problem(key+".keeper", "strikes keepers: neither edge nor twice goes with it")
	}
}

// isDrawn says whether a text is "some N", with N from 1 to most.
func isDrawn(text string, most int) bool {
	var count int
	_, err := fmt.Sscanf(text, "some %d", &count)
	return err == nil && count >= 1 && count <= most
}

// checkEvent checks the event that a fault waits for.
func (r *reader) checkEvent(key string, fault *ProcessFault, gateways int) {
	if fault.On != "" && !named(Events, fault.On) {
		r.problem(key+".on", "%q is no event; there are %s", fault.On, known(Events))
	}
	if _, err := ParseNumbers(fault.Gateways, gateways); err != nil {
		r.problem(key+".by", "%v", err)
	}
	if fault.On == logEvent && fault.Text == "" {
		r.problem(key+".text", "the event log needs a text")
	}
}

// valueNeeds are the values that faults of a kind need.
var valueNeeds = map[string]struct {
	field, what string
	given       func(fault *ProcessFault) bool
}{
	"freeze": {"lasts", "a time", func(f *ProcessFault) bool { return f.Lasts.Lo > 0 }},
	"starve": {"size", "a time that it lasts, and a part of the time under 1", func(f *ProcessFault) bool {
		return f.Lasts.Lo > 0 && f.Size.Hi < 1
	}},
	"delay":    {"time", "a time or jitter", func(f *ProcessFault) bool { return f.Time.Hi > 0 || f.Jitter.Hi > 0 }},
	"disorder": {"time", "a time", func(f *ProcessFault) bool { return f.Time.Hi > 0 }},
	"rate":     {"size", "bytes a second", func(f *ProcessFault) bool { return f.Size.Lo > 0 }},
}

// checkFaultValues checks that a fault has the values that its kind needs.
func (r *reader) checkFaultValues(key string, fault *ProcessFault) {
	need, ok := valueNeeds[fault.Kind]
	if ok && !need.given(fault) {
		r.problem(key+"."+need.field, "%s needs %s", fault.Kind, need.what)
	}
}

// Kinds of link faults that strike datagrams only, and those that strike connections only.
var (
	datagramKinds   = []string{"double", "disorder"}
	connectionKinds = []string{"half-open", "reset", "refuse", "stall", "rate"}
)

// checkLink checks which links a fault strikes.
func (r *reader) checkLink(key string, fault *ProcessFault, gateways, hosts int) {
	from, _, err := ParseLinkEnd(fault.From, gateways, hosts)
	if err != nil {
		r.problem(key+".from", "%v", err)
		return
	}
	to, _, err := ParseLinkEnd(fault.To, gateways, hosts)
	if err != nil {
		r.problem(key+".to", "%v", err)
		return
	}
	if fault.Edges != "" {
		r.problem(key+".edge", "%s strikes links: from and to say which", fault.Kind)
	}
	if from == endStore && to == endStore {
		return
	}
	if !isLink(from, to) {
		r.problem(key+".from", "links go from clients to edges, and from edges to counter, discovery, hosts and edges")
	}
	datagrams := from == endGateway && to == endGateway
	wrongKinds := datagramKinds
	if datagrams {
		wrongKinds = connectionKinds
	}
	if slices.Contains(wrongKinds, fault.Kind) {
		r.problem(key+".kind", "%s can't strike the way from %s to %s", fault.Kind, fault.From, fault.To)
	}
}

// isLink says whether there are links from one kind of process to another.
func isLink(from, to string) bool {
	if from == endClients {
		return to == endGateway
	}
	return from == endGateway && to != endClients
}

// checkExpectation checks what a script expects to hold at its end.
func (r *reader) checkExpectation(key string, expected *Expectation, s *Scenario) {
	if !named(ExpectationKinds, expected.Kind) {
		r.problem(key+".what", "%q is not known; there are %s", expected.Kind, known(ExpectationKinds))
	}
	if _, err := ParseNumbers(expected.Edge, int(s.Fleet.Gateways.Lo)); err != nil {
		r.problem(key+".edge", "%v", err)
	}
	if expected.Edge != "" && expected.Kind != logEvent && expected.Kind != "runs" {
		r.problem(key+".edge", "%s is of the whole fleet", expected.Kind)
	}
	if expected.Kind == logEvent && expected.Text == "" {
		r.problem(key+".text", "log needs a text")
	}
	if expected.Min.Lo > expected.Max.Hi || expected.From.Lo >= expected.Until.Hi {
		r.problem(key+".least", "can't be kept: its bounds cross")
	}
}
