package oracle

import (
	"fmt"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/scenario"
)

// Tolerance is by how many seconds what a rule bounds may be late for the time that messages take.
const Tolerance = 0.05

// standardMaxKept is how many violations are kept unless MaxKept says otherwise.
const standardMaxKept = 20

// The rules that can be violated. The numbers are those of the operators' pages.
const (
	noRule           = iota // none of the five: a crash, or an expectation of a script
	ruleOneAnswer           // one final answer in time
	ruleEffect              // as many runs as the effect allows
	ruleLeavingHosts        // no new work to a host that leaves
	ruleColdHosts           // no overload of a cold host
	ruleCeiling             // no customer beyond its ceiling
)

// Violation is a rule that was violated. Its fields are keys of the JSON of results.
type Violation struct {
	Rule int // 0: none of the five, but a crash or an expectation
	At   float64
	Ref  string // of the invocation; "": none in particular
	Text string
}

func (v Violation) String() string {
	if v.Rule == noRule {
		return fmt.Sprintf("at %.3f s: %s", v.At, v.Text)
	}
	return fmt.Sprintf("rule %d at %.3f s: %s", v.Rule, v.At, v.Text)
}

// Oracle keeps the account of a simulation.
type Oracle struct {
	Violations    []Violation // the first MaxKept
	MaxKept       int
	Total         int
	AllowsHedging bool // two attempts of one invocation may be in flight at once

	now      func() float64
	scenario *scenario.Scenario
	usage    map[*model.Customer]*usage
	told     []map[int]hostState // by api gateway and host
}

// hostState is what an api gateway was told of a host, and when.
type hostState struct {
	state         string
	toldAt        float64
	hostStartedAt float64 // of the incarnation that it was told of
}

// New makes the oracle of a scenario whose values have been drawn; now reads the clock.
func New(day *scenario.Scenario, gateways int, now func() float64) *Oracle {
	oracle := &Oracle{
		MaxKept:  standardMaxKept,
		now:      now,
		scenario: day,
		usage:    map[*model.Customer]*usage{},
		told:     make([]map[int]hostState, gateways),
	}
	for gateway := range oracle.told {
		oracle.told[gateway] = map[int]hostState{}
	}
	return oracle
}

func (o *Oracle) violated(rule int, ref, text string, args ...any) {
	o.Total++
	if len(o.Violations) < o.MaxKept {
		o.Violations = append(o.Violations, Violation{Rule: rule, At: o.now(), Ref: ref, Text: fmt.Sprintf(text, args...)})
	}
}

// HostStateTold takes down that an api gateway was told of a host's state; hostStartedAt is the start of the incarnation that is
// meant.
func (o *Oracle) HostStateTold(gateway, host int, state string, hostStartedAt float64) {
	before, known := o.told[gateway][host]
	toldAt := o.now()
	if known && before.state != model.HostActive && state != model.HostActive { // it drains, then is gone: the first counts
		toldAt = before.toldAt
	}
	o.told[gateway][host] = hostState{state, toldAt, hostStartedAt}
}

// GatewayStarted takes down that an api gateway starts; it is then told of all hosts anew.
func (o *Oracle) GatewayStarted(gateway int) { o.told[gateway] = map[int]hostState{} }

// GatewayResumed takes down that an api gateway was stopped since a clock time. What it was told meanwhile it could not hear.
func (o *Oracle) GatewayResumed(gateway int, since float64) {
	for host, told := range o.told[gateway] { // each by itself: the order does not show
		if told.toldAt >= since-o.scenario.Gateway.DrainGrace.Float() {
			told.toldAt = o.now()
			o.told[gateway][host] = told
		}
	}
}

// GatewayCrashed reports an api gateway that has ended without being asked to.
func (o *Oracle) GatewayCrashed(gateway int, how error) {
	o.violated(noRule, "", "api gateway %d has ended by itself: %v", gateway, how)
}

// ExpectationFailed reports something that a script expects and that does not hold.
func (o *Oracle) ExpectationFailed(text string) { o.violated(noRule, "", "%s", text) }

// HostOverloaded judges a cold host that went down under these arrivals.
func (o *Oracle) HostOverloaded(host *hostmodel.Host, arrivals []hostmodel.Arrival) {
	total := 0.0
	byThoseWhoKnew := 0.0
	for _, arrival := range arrivals {
		total += arrival.Work
		if told, ok := o.told[arrival.Gateway][host.Number]; ok && told.hostStartedAt == host.StartedAt {
			byThoseWhoKnew += arrival.Work
		}
	}
	if byThoseWhoKnew >= total*2/3 { // the gateways' doing, not chance
		o.violated(ruleColdHosts, "",
			"host %d fell over %.2f s after its start under %.3f core seconds in %.2f s, %.0f%% of it from api gateways that knew",
			host.Number, o.now()-host.StartedAt, total, o.scenario.Cold.Window.Float(), 100*byThoseWhoKnew/total)
	}
}
