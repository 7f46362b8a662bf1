package scenario

import (
	"slices"
	"strings"
)

// What a kind of fault needs, as FaultKind.Needs says it.
const (
	needsOperation = "operation"
	needsPeers     = "peers"
	needsCounter   = "counter"
)

// sizeIsPart begins the description of a size that is a part of something.
const sizeIsPart = "part"

// partitionKind is the kind of fault that cuts zones off, for which there must be two.
const partitionKind = "cut"

// check finds what one field alone does not show.
func (r *reader) check(s *Scenario) {
	if len(s.Hosts) == 0 || len(s.Operations) == 0 || len(s.Plans) == 0 {
		r.problem("host", "a day has at least one [[host]], one [[operation]] and one [[plan]]")
	}
	r.checkNames("host", len(s.Hosts), func(i int) string { return s.Hosts[i].Name })
	r.checkNames("operation", len(s.Operations), func(i int) string { return s.Operations[i].Name })
	r.checkNames("plan", len(s.Plans), func(i int) string { return s.Plans[i].Name })
	for i := range s.Operations {
		r.checkOperation(indexed("operation", i), &s.Operations[i])
	}
	for i := range s.Plans {
		r.checkPlan(indexed("plan", i), &s.Plans[i], s.Clients.Units.Hi)
	}
	for i := range s.Faults {
		r.checkFault(indexed("trouble", i), &s.Faults[i], s)
	}
	for i := range s.ProcessFaults {
		r.checkProcessFault(indexed("fault", i), &s.ProcessFaults[i], s)
	}
	for i := range s.Expectations {
		r.checkExpectation(indexed("promise", i), &s.Expectations[i], s)
	}
}

// checkNames checks the names of the tables of a list.
func (r *reader) checkNames(list string, count int, name func(i int) string) {
	for i := range count {
		key := indexed(list, i) + ".name"
		if strings.ContainsAny(name(i), " \t\n\"/") || name(i) == "" {
			r.problem(key, "%q: a name has no blanks, quotes or slashes and is not empty", name(i))
		}
		for earlier := range i {
			if name(i) == name(earlier) {
				r.problem(key, "%q is there already", name(i))
			}
		}
	}
}

func (r *reader) checkOperation(key string, operation *Operation) {
	if operation.Objective.Lo > operation.Timeout.Hi {
		r.problem(key+".objective", "is after the integration timeout of %s", formatFigure(unitTime, operation.Timeout.Hi))
	}
	if operation.Effect == "tokened" && operation.TokenTime.Lo == 0 {
		r.problem(key+".token_time", "a tokened operation needs one")
	}
}

func (r *reader) checkPlan(key string, plan *Plan, maxUnits float64) {
	if plan.Rate.Hi > 0 && plan.Burst.Lo < maxUnits {
		r.problem(key+".burst", "holds less than one invocation may have: %s units", formatFigure(unitCount, maxUnits))
	}
	if plan.Rate.Lo == 0 && plan.UseRate.Lo == 0 {
		r.problem(key+".use", "is needed where there is no rate")
	}
	if plan.CeilingRate.Hi > 0 && plan.CeilingBurst.Lo < maxUnits {
		r.problem(key+".ceiling_burst", "holds less than one invocation may have")
	}
}

func (r *reader) checkFault(key string, fault *Fault, s *Scenario) {
	kind, ok := FaultKindOf(fault.Kind)
	if !ok {
		var names []string
		for _, known := range FaultKinds {
			names = append(names, known.Name)
		}
		r.problem(key+".kind", "%q is not known; there are %s", fault.Kind, strings.Join(names, ", "))
		return
	}
	if kind.Lasts && fault.Lasts.Lo == 0 {
		r.problem(key+".lasts", "%s needs a time", fault.Kind)
	}
	if fault.At.Lo > s.Length.Hi {
		r.problemAfterEnd(key, s)
	}
	r.checkFaultNeeds(key, kind, fault, s)
	if strings.HasPrefix(kind.Size, sizeIsPart) && fault.Size.Hi > 1 {
		r.problem(key+".size", "is a part here: at most 1")
	}
	if kind.PositiveSize && fault.Size.Lo == 0 {
		r.problem(key+".size", "is a factor here: over 0")
	}
	if fault.Kind == partitionKind && s.Fleet.Zones.Lo < 2 {
		r.problem(key+".kind", "cut needs two zones or more")
	}
}

// problemAfterEnd notes that something begins too late.
func (r *reader) problemAfterEnd(key string, s *Scenario) {
	r.problem(key+".at", "is after the day's end at %s", formatFigure(unitTime, s.Length.Hi))
}

// checkFaultNeeds checks that the scenario has what the fault strikes.
func (r *reader) checkFaultNeeds(key string, kind FaultKind, fault *Fault, s *Scenario) {
	switch kind.Needs {
	case needsOperation:
		if !slices.ContainsFunc(s.Operations, func(o Operation) bool { return o.Name == fault.Operation }) {
			r.problem(key+".operation", "%q is no operation of this day", fault.Operation)
		}
	case needsPeers:
		if !s.Peers.Allowed {
			r.problem(key+".kind", "%s needs peers.allowed", fault.Kind)
		}
	case needsCounter:
		if !s.Counter.Present {
			r.problem(key+".kind", "%s needs a counter", fault.Kind)
		}
	}
}
