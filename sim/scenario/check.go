package scenario

import (
	"slices"
	"strings"
)

// Values of FaultKind.Needs: what a scenario must have for a kind of fault to apply.
const (
	needsOperation = "operation"
	needsPeers     = "peers"
	needsCounter   = "counter"
)

// partSizePrefix begins FaultKind.Size where the size is a fraction between 0 and 1.
const partSizePrefix = "part"

// partitionKind is the kind of fault that partitions zones. It requires at least two zones.
const partitionKind = "cut"

// check validates the conditions that span several fields.
func (r *reader) check(s *Scenario) {
	if len(s.Hosts) == 0 || len(s.Operations) == 0 || len(s.Plans) == 0 {
		r.problem("host", "a day needs at least one [[host]], one [[operation]] and one [[plan]]")
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

// checkNames checks that the tables of an array have valid and unique names.
func (r *reader) checkNames(list string, count int, name func(i int) string) {
	for i := range count {
		key := indexed(list, i) + ".name"
		if strings.ContainsAny(name(i), " \t\n\"/") || name(i) == "" {
			r.problem(key, "%q: a name must not be empty or contain blanks, quotes or slashes", name(i))
		}
		for earlier := range i {
			if name(i) == name(earlier) {
				r.problem(key, "%q is used more than once", name(i))
			}
		}
	}
}

func (r *reader) checkOperation(key string, operation *Operation) {
	if operation.Objective.Lo > operation.Timeout.Hi {
		r.problem(key+".objective", "exceeds the integration timeout of %s", formatFigure(unitTime, operation.Timeout.Hi))
	}
	if operation.Effect == "tokened" && operation.TokenTime.Lo == 0 {
		r.problem(key+".token_time", "is required for a tokened operation")
	}
}

func (r *reader) checkPlan(key string, plan *Plan, maxUnits float64) {
	if plan.Rate.Hi > 0 && plan.Burst.Lo < maxUnits {
		r.problem(key+".burst", "is less than the most units of one invocation: %s", formatFigure(unitCount, maxUnits))
	}
	if plan.Rate.Lo == 0 && plan.UseRate.Lo == 0 {
		r.problem(key+".use", "is required if rate is 0/s")
	}
	if plan.CeilingRate.Hi > 0 && plan.CeilingBurst.Lo < maxUnits {
		r.problem(key+".ceiling_burst", "is less than the most units of one invocation")
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
		r.problem(key+".lasts", "%s needs a duration", fault.Kind)
	}
	if fault.At.Lo > s.Length.Hi {
		r.problemAfterEnd(key, s)
	}
	r.checkFaultNeeds(key, kind, fault, s)
	if strings.HasPrefix(kind.Size, partSizePrefix) && fault.Size.Hi > 1 {
		r.problem(key+".size", "is a fraction for this kind: at most 1")
	}
	if kind.PositiveSize && fault.Size.Lo == 0 {
		r.problem(key+".size", "is a factor for this kind: it must be greater than 0")
	}
	if fault.Kind == partitionKind && s.Fleet.Zones.Lo < 2 {
		r.problem(key+".kind", "cut needs at least two zones")
	}
}

// problemAfterEnd records that a fault begins after the end of the scenario.
func (r *reader) problemAfterEnd(key string, s *Scenario) {
	r.problem(key+".at", "is after the end of the day at %s", formatFigure(unitTime, s.Length.Hi))
}

// checkFaultNeeds checks that the scenario has the component that a fault affects.
func (r *reader) checkFaultNeeds(key string, kind FaultKind, fault *Fault, s *Scenario) {
	switch kind.Needs {
	case needsOperation:
		if !slices.ContainsFunc(s.Operations, func(o Operation) bool { return o.Name == fault.Operation }) {
			r.problem(key+".operation", "%q is not an operation of this day", fault.Operation)
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
