package metrics

import (
	"encoding/json"
	"fmt"

	"otterseam/sim/model"
	"otterseam/sim/oracle"
)

// Second holds the figures of one second.
type Second struct {
	Share
	AttemptsInFlight   float64 `json:"out"`      // at the end of the second
	CoreUtilization    float64 `json:"busy"`     // fraction of the hosts' cores that are busy
	HostLoad           float64 `json:"waiting"`  // jobs waiting or running at hosts
	CounterCalls       float64 `json:"calls"`    // to the counter
	CounterCallsFailed float64 `json:"missed"`   // calls unanswered, late or rejected
	GatewaysAlive      float64 `json:"alive"`    // api gateways
	HostsUp            float64 `json:"hosts_up"` // hosts that are not down
	FirstInvocations   float64 `json:"first"`
	ClientRetries      float64 `json:"repeats"`
	Dials              float64 `json:"dials"` // new connections to hosts

	Attempts float64 `json:"deliveries"` // begun in the second
	P50      float64 `json:"p50_ms"`     // of the answers given in the second
	P99      float64 `json:"p99_ms"`
}

// Results holds all figures of a simulation.
type Results struct {
	Day                string             `json:"day"`
	Decider            string             `json:"decider"`
	Seed               uint64             `json:"seed"`
	Total              Share              `json:"whole"`
	Plans              map[string]*Share  `json:"plans"`
	QuotaUses          map[string]*Share  `json:"classes"`
	Operations         map[string]*Share  `json:"operations"`
	Latency            map[string]Latency `json:"latency"`
	Seconds            []Second           `json:"seconds"`
	FirstInvocations   float64            `json:"first_tries"`
	Invocations        float64            `json:"tries"`
	Attempts           float64            `json:"deliveries"`
	WastedWork         float64            `json:"wasted"` // fraction of the hosts' work whose answers served no client
	CounterCalls       float64            `json:"calls"`
	CounterCallsFailed float64            `json:"calls_missed"`
	PeerMessages       float64            `json:"mail"`
	Dials              float64            `json:"dials"`
	Fairness           float64            `json:"fairness"` // Jain's index over the customers' fractions served in time
	Events             uint64             `json:"events"`
	ViolationCount     int                `json:"breaks"`
	Violations         []oracle.Violation `json:"broken,omitempty"`
	Outcomes           map[string]float64 `json:"ended"`          // invocations by their outcome for the client
	Logs               map[string]int     `json:"logs,omitempty"` // log lines of the policy, by their first word

	// StartedAt is the clock time at which counting began. Seconds are counted from it.
	StartedAt float64 `json:"-"`

	latencies  latencies
	byCustomer map[*model.Customer]*customerValue
}

// customerValue holds the value that one customer requested within its quota, and how much of it was served in time.
type customerValue struct {
	served, requested float64
}

// New returns empty results. day and decider are the names of the scenario and of the policy.
func New(day, decider string, seed uint64) *Results {
	return &Results{
		Day:        day,
		Decider:    decider,
		Seed:       seed,
		Plans:      map[string]*Share{},
		QuotaUses:  map[string]*Share{},
		Operations: map[string]*Share{},
		Latency:    map[string]Latency{},
		Logs:       map[string]int{},
		Outcomes:   map[string]float64{},
		byCustomer: map[*model.Customer]*customerValue{},
	}
}

// SecondAt returns the second of a clock time and creates it if needed.
func (r *Results) SecondAt(now float64) *Second {
	i := r.secondIndex(now)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

func (r *Results) secondIndex(now float64) int { return int(max(0, now-r.StartedAt)) }

// Finish computes the latency quantiles and the fairness. customers must be in a fixed order, because floating-point sums depend on it.
func (r *Results) Finish(customers []*model.Customer) {
	r.finishLatencies()
	r.Fairness = r.jainIndex(customers)
}

// jainIndex returns Jain's fairness index, (Σx)² / (n Σx²), over the fraction served in time of each customer's requested value. It
// returns 0 if nothing was served.
func (r *Results) jainIndex(customers []*model.Customer) float64 {
	sum := 0.0
	squares := 0.0
	count := 0.0
	for _, customer := range customers {
		value := r.byCustomer[customer]
		if value == nil || value.requested <= 0 {
			continue
		}
		fraction := value.served / value.requested
		sum += fraction
		squares += fraction * fraction
		count++
	}
	if squares <= 0 {
		return 0
	}
	return sum * sum / count / squares
}

// OutcomeSummary returns a text with the number of invocations for each outcome that occurred.
func (r *Results) OutcomeSummary() []string {
	var text []string
	for _, name := range model.OutcomeNames {
		if r.Outcomes[name] > 0 {
			text = append(text, fmt.Sprintf("%s %.0f", name, r.Outcomes[name]))
		}
	}
	return text
}

// Score returns the net value of the run as a fraction of the value requested within the quotas.
func (r *Results) Score() float64 { return r.Total.Fraction(r.Total.NetValue) }

// Encode returns the results as JSON. The same scenario and seed give the same bytes.
func (r *Results) Encode() []byte {
	encoded, err := json.MarshalIndent(r, "", " ")
	if err != nil { // cannot happen: no figure is infinite or NaN
		panic(err)
	}
	return append(encoded, '\n')
}
