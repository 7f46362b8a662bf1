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

// partSizePrefix is the prefix of FaultKind.Size for kinds whose size is a fraction between 0 and 1.
const partSizePrefix = "part"

// partitionKind is the kind of fault that partitions zones. It requires at least two zones.
const partitionKind = "cut"

// check validates the conditions that span several fields.
func (r *reader) check(s *Scenario) {
	if len(s.Hosts) == 0 || len(s.Operations) == 0 || len(s.Plans) == 0 {
		r.addProblem("host", "a day needs at least one [[host]], one [[operation]] and one [[plan]]")
	}
	r.checkNames("host", len(s.Hosts), func(i int) string { return s.Hosts[i].Name })
	r.checkNames("operation", len(s.Operations), func(i int) string { return s.Operations[i].Name })
	r.checkNames("plan", len(s.Plans), func(i int) string { return s.Plans[i].Name })
	for i := range s.Operations {
		r.checkOperation(indexedKey("operation", i), &s.Operations[i])
	}
	for i := range s.Plans {
		r.checkPlan(indexedKey("plan", i), &s.Plans[i], s.Clients.Units.Hi)
	}
	for i := range s.Faults {
		r.checkFault(indexedKey("trouble", i), &s.Faults[i], s)
	}
	for i := range s.ProcessFaults {
		r.checkProcessFault(indexedKey("fault", i), &s.ProcessFaults[i], s)
	}
	for i := range s.Expectations {
		r.checkExpectation(indexedKey("promise", i), &s.Expectations[i], s)
	}
}

// checkNames checks that the tables of an array have valid and unique names.
func (r *reader) checkNames(list string, count int, name func(i int) string) {
	for i := range count {
		key := indexedKey(list, i) + ".name"
		if strings.ContainsAny(name(i), " \t\n\"/") || name(i) == "" {
			r.addProblem(key, "%q: a name must not be empty or contain blanks, quotes or slashes", name(i))
		}
		for earlier := range i {
			if name(i) == name(earlier) {
				r.addProblem(key, "%q is used more than once", name(i))
			}
		}
	}
}

func (r *reader) checkOperation(key string, operation *Operation) {
	if operation.Objective.Lo > operation.Timeout.Hi {
		r.addProblem(key+".objective", "exceeds the integration timeout of %s", formatFigure(unitTime, operation.Timeout.Hi))
	}
	if operation.Effect == "tokened" && operation.TokenTime.Lo == 0 {
		r.addProblem(key+".token_time", "is required for a tokened operation")
	}
}

func (r *reader) checkPlan(key string, plan *Plan, maxUnits float64) {
	if plan.Rate.Hi > 0 && plan.Burst.Lo < maxUnits {
		r.addProblem(key+".burst", "is less than the maximum of %s units per invocation", formatFigure(unitCount, maxUnits))
	}
	if plan.Rate.Lo == 0 && plan.UseRate.Lo == 0 {
		r.addProblem(key+".use", "is required if rate is 0/s")
	}
	if plan.CeilingRate.Hi > 0 && plan.CeilingBurst.Lo < maxUnits {
		r.addProblem(key+".ceiling_burst", "is less than the maximum units per invocation")
	}
}

func (r *reader) checkFault(key string, fault *Fault, s *Scenario) {
	kind, ok := FaultKindOf(fault.Kind)
	if !ok {
		var names []string
		for _, known := range FaultKinds {
			names = append(names, known.Name)
		}
		r.addProblem(key+".kind", "%q is not known; there are %s", fault.Kind, strings.Join(names, ", "))
		return
	}
	if kind.Lasts && fault.Lasts.Lo == 0 {
		r.addProblem(key+".lasts", "%s needs a duration", fault.Kind)
	}
	if fault.At.Lo > s.Length.Hi {
		r.addAfterEndProblem(key, s)
	}
	r.checkFaultNeeds(key, kind, fault, s)
	if strings.HasPrefix(kind.Size, partSizePrefix) && fault.Size.Hi > 1 {
		r.addProblem(key+".size", "is a fraction for this kind: at most 1")
	}
	if kind.PositiveSize && fault.Size.Lo == 0 {
		r.addProblem(key+".size", "is a factor for this kind: it must be greater than 0")
	}
	if fault.Kind == partitionKind && s.Fleet.Zones.Lo < 2 {
		r.addProblem(key+".kind", "cut needs at least two zones")
	}
}

// addAfterEndProblem records that a fault begins after the end of the scenario.
func (r *reader) addAfterEndProblem(key string, s *Scenario) {
	r.addProblem(key+".at", "is after the end of the day at %s", formatFigure(unitTime, s.Length.Hi))
}

// checkFaultNeeds checks that the scenario has the component that a fault affects.
func (r *reader) checkFaultNeeds(key string, kind FaultKind, fault *Fault, s *Scenario) {
	switch kind.Needs {
	case needsOperation:
		if !slices.ContainsFunc(s.Operations, func(o Operation) bool { return o.Name == fault.Operation }) {
			r.addProblem(key+".operation", "%q is not an operation of this day", fault.Operation)
		}
	case needsPeers:
		if !s.Peers.Allowed {
			r.addProblem(key+".kind", "%s needs peers.allowed", fault.Kind)
		}
	case needsCounter:
		if !s.Counter.Present {
			r.addProblem(key+".kind", "%s needs a counter", fault.Kind)
		}
	}
}
