package metrics

import (
	"encoding/json"
	"fmt"

	"otterseam/sim/model"
	"otterseam/sim/oracle"
)

// Second is what happened in one second.
type Second struct {
	Share
	AttemptsInFlight   float64 `json:"out"`      // at its end
	CoreUtilization    float64 `json:"busy"`     // part of the hosts' cores at work
	HostLoad           float64 `json:"waiting"`  // jobs that wait or run at hosts
	CounterCalls       float64 `json:"calls"`    // to the counter
	CounterCallsFailed float64 `json:"missed"`   // of them, unanswered, late or rejected
	GatewaysAlive      float64 `json:"alive"`    // api gateways
	HostsUp            float64 `json:"hosts_up"` // hosts that take work
	FirstInvocations   float64 `json:"first"`
	ClientRetries      float64 `json:"repeats"`
	Dials              float64 `json:"dials"` // new connections to hosts

	Attempts float64 `json:"deliveries"` // begun in it
	P50      float64 `json:"p50_ms"`     // of the answers given in it
	P99      float64 `json:"p99_ms"`
}

// Results is all that is counted in a simulation.
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
	WastedWork         float64            `json:"wasted"` // part of the hosts' work that served nobody in time
	CounterCalls       float64            `json:"calls"`
	CounterCallsFailed float64            `json:"calls_missed"`
	PeerMessages       float64            `json:"mail"`
	Dials              float64            `json:"dials"`
	Fairness           float64            `json:"fairness"` // Jain's index over customers' served part of what they asked for within
	Events             uint64             `json:"events"`
	ViolationCount     int                `json:"breaks"`
	Violations         []oracle.Violation `json:"broken,omitempty"`
	Outcomes           map[string]float64 `json:"ended"`          // invocations, by how they ended for their client
	Logs               map[string]int     `json:"logs,omitempty"` // log lines of the policy, by their first word

	// StartedAt is the clock time at which counting began: the seconds count from there.
	StartedAt float64 `json:"-"`

	latencies  latencies
	byCustomer map[*model.Customer]*customerValue
}

// customerValue is what became of the value that one customer asked for within its quota.
type customerValue struct {
	served, requested float64
}

// New begins to count. day and decider are the names of the scenario and of the policy.
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

// SecondAt is the second of a clock time.
func (r *Results) SecondAt(now float64) *Second {
	i := r.secondIndex(now)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

func (r *Results) secondIndex(now float64) int { return int(max(0, now-r.StartedAt)) }

// Finish closes the count. customers must come in a fixed order: their values are added up in it.
func (r *Results) Finish(customers []*model.Customer) {
	r.finishLatencies()
	r.Fairness = r.jainIndex(customers)
}

// jainIndex is Jain's fairness index, (Σx)² / (n Σx²), over the served part of what each customer asked for; 0 where none was.
func (r *Results) jainIndex(customers []*model.Customer) float64 {
	sum := 0.0
	squares := 0.0
	count := 0.0
	for _, customer := range customers {
		value := r.byCustomer[customer]
		if value == nil || value.requested <= 0 {
			continue
		}
		part := value.served / value.requested
		sum += part
		squares += part * part
		count++
	}
	if squares <= 0 {
		return 0
	}
	return sum * sum / count / squares
}

// OutcomeSummary says how many invocations ended in each way for their clients.
func (r *Results) OutcomeSummary() []string {
	var text []string
	for _, name := range model.OutcomeNames {
		if r.Outcomes[name] > 0 {
			text = append(text, fmt.Sprintf("%s %.0f", name, r.Outcomes[name]))
		}
	}
	return text
}

// Score is the net value of the run as a part of what was asked for within the quotas.
func (r *Results) Score() float64 { return r.Total.Fraction(r.Total.NetValue) }

// Encode writes the results in one form only: same scenario, same seed, same bytes.
func (r *Results) Encode() []byte {
	encoded, err := json.MarshalIndent(r, "", " ")
	if err != nil { // no figure is infinite or not a number
		panic(err)
	}
	return append(encoded, '\n')
}
