package oracle

import (
	"fmt"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/scenario"
)

// Tolerance is the delay in seconds that the rules' time limits allow for messages in transit.
const Tolerance = 0.05

// defaultMaxKept is the initial value of MaxKept.
const defaultMaxKept = 20

// The rules that can be violated. The operators' documentation uses the same numbers.
const (
	noRule           = iota // none of the five: a crash, or a failed expectation of a script
	ruleOneAnswer           // one final answer in time
	ruleEffect              // only as many runs as the effect allows
	ruleLeavingHosts        // no new work to a leaving host
	ruleColdHosts           // no overload of a cold host
	ruleCeiling             // no customer above its ceiling
)

// Violation is one violation of a rule. The names of its fields are keys in the JSON of results.
type Violation struct {
	Rule int // 0 for a crash or a failed expectation
	At   float64
	Ref  string // of the invocation; "" if the violation concerns no particular one
	Text string
}

func (v Violation) String() string {
	if v.Rule == noRule {
		return fmt.Sprintf("at %.3f s: %s", v.At, v.Text)
	}
	return fmt.Sprintf("rule %d at %.3f s: %s", v.Rule, v.At, v.Text)
}

// Oracle records the violations of a simulation and the quota usage of its customers.
type Oracle struct {
	Violations    []Violation // the first MaxKept
	MaxKept       int
	Total         int  // of violations, including those not kept
	AllowsHedging bool // two attempts of one invocation may be in flight at once

	now      func() float64
	scenario *scenario.Scenario
	usage    map[*model.Customer]*usage
	// hostStates holds by api gateway and host what the gateway was last notified of.
	hostStates []map[int]hostState
}

// hostState is the state of a host of which an api gateway was notified.
type hostState struct {
	state         string
	learnedAt     float64
	hostStartedAt float64 // of the incarnation that the notification was about
}

// New returns the oracle of a scenario whose values have been drawn. now reads the clock.
func New(config *scenario.Scenario, gateways int, now func() float64) *Oracle {
	oracle := &Oracle{
		MaxKept:    defaultMaxKept,
		now:        now,
		scenario:   config,
		usage:      map[*model.Customer]*usage{},
		hostStates: make([]map[int]hostState, gateways),
	}
	for gateway := range oracle.hostStates {
		oracle.hostStates[gateway] = map[int]hostState{}
	}
	return oracle
}

func (o *Oracle) addViolation(rule int, ref, text string, args ...any) {
	o.Total++
	if len(o.Violations) < o.MaxKept {
		o.Violations = append(o.Violations, Violation{Rule: rule, At: o.now(), Ref: ref, Text: fmt.Sprintf(text, args...)})
	}
}

// HostStateTold records that an api gateway was notified of a host's state. hostStartedAt is the start time of the incarnation that
// the notification is about.
func (o *Oracle) HostStateTold(gateway, host int, state string, hostStartedAt float64) {
	previous, known := o.hostStates[gateway][host]
	learnedAt := o.now()
	// A host that drains and then leaves counts as leaving from the first of the two notifications.
	if known && previous.state != model.HostActive && state != model.HostActive {
		learnedAt = previous.learnedAt
	}
	o.hostStates[gateway][host] = hostState{state, learnedAt, hostStartedAt}
}

// GatewayStarted records that an api gateway starts. It is notified of all hosts again after that.
func (o *Oracle) GatewayStarted(gateway int) { o.hostStates[gateway] = map[int]hostState{} }

// GatewayResumed records that an api gateway resumes after it was paused since a clock time. The gateway handles notifications that
// were sent during the pause only now.
func (o *Oracle) GatewayResumed(gateway int, since float64) {
	for host, last := range o.hostStates[gateway] { // the entries are independent of each other, so the order has no effect
		if last.learnedAt >= since-o.scenario.Gateway.DrainGrace.Float() {
			last.learnedAt = o.now()
			o.hostStates[gateway][host] = last
		}
	}
}

// GatewayCrashed reports that an api gateway ended without a request to stop.
func (o *Oracle) GatewayCrashed(gateway int, how error) {
	o.addViolation(noRule, "", "api gateway %d has ended by itself: %v", gateway, how)
}

// ExpectationFailed reports an expectation of a script that does not hold.
func (o *Oracle) ExpectationFailed(text string) { o.addViolation(noRule, "", "%s", text) }

// HostOverloaded checks whether the api gateways are to blame for the overload of a cold host, which went down under these arrivals.
// At least two thirds of the work must come from gateways that knew of the host's start; less may be chance.
func (o *Oracle) HostOverloaded(host *hostmodel.Host, arrivals []hostmodel.Arrival) {
	total := 0.0
	fromInformedGateways := 0.0
	for _, arrival := range arrivals {
		total += arrival.Work
		if last, ok := o.hostStates[arrival.Gateway][host.Number]; ok && last.hostStartedAt == host.StartedAt {
			fromInformedGateways += arrival.Work
		}
	}
	if fromInformedGateways >= total*2/3 {
		o.addViolation(ruleColdHosts, "",
			"host %d went down %.2f s after its start under %.3f core seconds in %.2f s, %.0f%% of it from api gateways that knew of the start",
			host.Number, o.now()-host.StartedAt, total, o.scenario.Cold.Window.Float(), 100*fromInformedGateways/total)
	}
}
