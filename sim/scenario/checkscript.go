package scenario

import (
	"fmt"
	"slices"
)

// logEvent names both the event and the expectation that match lines of a gateway's log.
const logEvent = "log"

// checkProcessFault validates a fault of a script: one on real processes or on the links between them.
func (r *reader) checkProcessFault(key string, fault *ProcessFault, s *Scenario) {
	if !hasName(ProcessFaultKinds, fault.Kind) {
		r.addProblem(key+".kind", "%q is not known; there are %s", fault.Kind, joinNames(ProcessFaultKinds))
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
		r.addAfterEndProblem(key, s)
	}
}

// checkProcess checks the selection of the processes that a fault affects.
func (r *reader) checkProcess(key string, fault *ProcessFault, gateways, stores int) {
	if fault.From != "" || fault.To != "" {
		r.addProblem(key+".from", "%s affects processes: select them with edge instead", fault.Kind)
	}
	if _, err := ParseNumbers(fault.TargetGateways, gateways); err != nil {
		r.addProblem(key+".edge", "%v", err)
	}
	if fault.TargetStores != "" {
		r.checkStores(key, fault, stores)
	}
}

// checkStores checks the selection of the quota stores that a fault affects.
func (r *reader) checkStores(key string, fault *ProcessFault, stores int) {
	if fault.TargetStores != "leader" && !isDrawn(fault.TargetStores, stores) {
		if _, err := ParseNumbers(fault.TargetStores, stores); err != nil {
			r.addProblem(key+".keeper", "%v, leader or some N", err)
		}
	}
	if fault.TargetGateways != "" || fault.Kind == "twice" {
		r.addProblem(key+".keeper", "affects keepers: it can't be combined with edge or with the kind twice")
	}
}

// isDrawn reports whether the text is "some N", with N from 1 to maxCount: N processes drawn by the seed.
func isDrawn(text string, maxCount int) bool {
	var count int
	_, err := fmt.Sscanf(text, "some %d", &count)
	return err == nil && count >= 1 && count <= maxCount
}

// checkEvent validates the event that triggers a fault.
func (r *reader) checkEvent(key string, fault *ProcessFault, gateways int) {
	if fault.On != "" && !hasName(Events, fault.On) {
		r.addProblem(key+".on", "%q is no event; there are %s", fault.On, joinNames(Events))
	}
	if _, err := ParseNumbers(fault.EventGateways, gateways); err != nil {
		r.addProblem(key+".by", "%v", err)
	}
	if fault.On == logEvent && fault.Text == "" {
		r.addProblem(key+".text", "is required if on = \"log\"")
	}
}

// requiredValues maps a kind of fault to the value that it requires.
var requiredValues = map[string]struct {
	field, what string
	given       func(fault *ProcessFault) bool
}{
	"freeze": {"lasts", "a duration", func(f *ProcessFault) bool { return f.Lasts.Lo > 0 }},
	"starve": {"size", "a duration and a fraction of the time below 1", func(f *ProcessFault) bool {
		return f.Lasts.Lo > 0 && f.Size.Hi < 1
	}},
	"delay":    {"time", "a time or jitter", func(f *ProcessFault) bool { return f.Time.Hi > 0 || f.Jitter.Hi > 0 }},
	"disorder": {"time", "a time", func(f *ProcessFault) bool { return f.Time.Hi > 0 }},
	"rate":     {"size", "bytes a second", func(f *ProcessFault) bool { return f.Size.Lo > 0 }},
}

// checkFaultValues checks that a fault has the value that its kind requires.
func (r *reader) checkFaultValues(key string, fault *ProcessFault) {
	need, ok := requiredValues[fault.Kind]
	if ok && !need.given(fault) {
		r.addProblem(key+"."+need.field, "%s needs %s", fault.Kind, need.what)
	}
}

// Kinds of link faults that apply to datagrams only, and those that apply to connections only.
var (
	datagramKinds   = []string{"double", "disorder"}
	connectionKinds = []string{"half-open", "reset", "refuse", "stall", "rate"}
)

// checkLink checks the selection of the links that a fault affects, and that its kind applies to them.
func (r *reader) checkLink(key string, fault *ProcessFault, gateways, hosts int) {
	from, _, err := ParseLinkEnd(fault.From, gateways, hosts)
	if err != nil {
		r.addProblem(key+".from", "%v", err)
		return
	}
	to, _, err := ParseLinkEnd(fault.To, gateways, hosts)
	if err != nil {
		r.addProblem(key+".to", "%v", err)
		return
	}
	if fault.TargetGateways != "" {
		r.addProblem(key+".edge", "%s affects links: select them with from and to instead", fault.Kind)
	}
	if from == endStore && to == endStore {
		return
	}
	if !isLink(from, to) {
		r.addProblem(key+".from", "there are links only from clients to edges, and from edges to counter, discovery, hosts and edges")
	}
	datagrams := from == endGateway && to == endGateway
	wrongKinds := datagramKinds
	if datagrams {
		wrongKinds = connectionKinds
	}
	if slices.Contains(wrongKinds, fault.Kind) {
		r.addProblem(key+".kind", "%s does not apply to the link from %s to %s", fault.Kind, fault.From, fault.To)
	}
}

// isLink reports whether there are links from one kind of process to another.
func isLink(from, to string) bool {
	if from == endClients {
		return to == endGateway
	}
	return from == endGateway && to != endClients
}

// checkExpectation validates a condition that must hold at the end of a script.
func (r *reader) checkExpectation(key string, expected *Expectation, s *Scenario) {
	if !hasName(ExpectationKinds, expected.Kind) {
		r.addProblem(key+".what", "%q is not known; there are %s", expected.Kind, joinNames(ExpectationKinds))
	}
	if _, err := ParseNumbers(expected.Gateways, int(s.Fleet.Gateways.Lo)); err != nil {
		r.addProblem(key+".edge", "%v", err)
	}
	if expected.Gateways != "" && expected.Kind != logEvent && expected.Kind != "runs" {
		r.addProblem(key+".edge", "%s is measured for the whole fleet, so edge does not apply", expected.Kind)
	}
	if expected.Kind == logEvent && expected.Text == "" {
		r.addProblem(key+".text", "is required if what = \"log\"")
	}
	if expected.Min.Lo > expected.Max.Hi || expected.From.Lo >= expected.Until.Hi {
		r.addProblem(key+".least", "can't be kept: a lower bound is above its upper bound")
	}
}
