// Package metrics owns what is counted on a day: by second, by plan, by operation and by how a customer's use lies to
// its quota. It adds up and must never judge.
package metrics

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"

	"otterseam/sim/model"
	"otterseam/sim/oracle"
)

// Share is value asked for inside the quotas and what became of it, and what else was sent on.
type Share struct {
	Requested            float64 `json:"asked"`       // value asked for inside the quotas
	Served               float64 `json:"served"`      // of it, answered within the latency objective
	Late                 float64 `json:"late"`        // answered after it
	ThrottledWithRoom    float64 `json:"with_room"`   // throttled, the last time though there was room
	ThrottledWithoutRoom float64 `json:"no_room"`     // throttled, and there was none
	Errored              float64 `json:"errored"`     // errored
	Lost                 float64 `json:"lost"`        // unanswered, broken, or no api gateway took it
	BeyondQuota          float64 `json:"beyond"`      // value sent on beyond a quota
	BeyondCost           float64 `json:"beyond_cost"` // what that costs
	NetValue             float64 `json:"worth"`       // served, late at its part, less what was beyond
	FirstSent            float64 `json:"sent"`        // value sent on, for the first time
	ServedOfSent         float64 `json:"within"`      // value served in time of all that was sent on within quotas, asked for inside or not
}

// Add adds another share to it.
func (s *Share) Add(o Share) {
	s.Requested, s.Served, s.Late, s.ThrottledWithRoom = s.Requested+o.Requested, s.Served+o.Served, s.Late+o.Late, s.ThrottledWithRoom+o.ThrottledWithRoom
	s.ThrottledWithoutRoom, s.Errored, s.Lost = s.ThrottledWithoutRoom+o.ThrottledWithoutRoom, s.Errored+o.Errored, s.Lost+o.Lost
	s.BeyondQuota, s.BeyondCost, s.NetValue, s.FirstSent = s.BeyondQuota+o.BeyondQuota, s.BeyondCost+o.BeyondCost, s.NetValue+o.NetValue, s.FirstSent+o.FirstSent
	s.ServedOfSent += o.ServedOfSent
}

// Second is one second of a day.
type Second struct {
	Share
	AttemptsInFlight   float64 `json:"out"`      // deliveries out at its end
	CoreUtilization    float64 `json:"busy"`     // part of the hosts' cores at work
	HostLoad           float64 `json:"waiting"`  // work waiting or running at hosts
	CounterCalls       float64 `json:"calls"`    // to the counter
	CounterCallsFailed float64 `json:"missed"`   // of them, unanswered, late or turned away
	GatewaysAlive      float64 `json:"alive"`    // api gateways
	HostsUp            float64 `json:"hosts_up"` // hosts that take work
	FirstInvocations   float64 `json:"first"`    // first tries
	ClientRetries      float64 `json:"repeats"`  // clients' further tries
	Dials              float64 `json:"dials"`    // new connections to hosts

	Attempts float64 `json:"deliveries"` // deliveries begun
	P50      float64 `json:"p50_ms"`     // of the answers given in it
	P99      float64 `json:"p99_ms"`
}

// Latency is how long answers took, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Results is all that is counted on a day.
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
	Fairness           float64            `json:"fairness"` // Jain's index over customers' served part of what they asked for inside
	Events             uint64             `json:"events"`
	ViolationCount     int                `json:"breaks"`
	Violations         []oracle.Violation `json:"broken,omitempty"`
	Outcomes           map[string]float64 `json:"ended"`          // tries, by how they ended for their client
	Logs               map[string]int     `json:"logs,omitempty"` // log lines of the module, by how they begin

	// Began is the clock time at which the day began: its seconds count from there.
	StartedAt float64 `json:"-"`

	hist   map[string]*hdrhistogram.Histogram
	took   [][]float64 // by second
	served map[*model.Customer]*[2]float64
}

// New begins the count of a day.
func New(day, decider string, seed uint64) *Results {
	return &Results{
		Day: day, Decider: decider, Seed: seed, Plans: map[string]*Share{}, QuotaUses: map[string]*Share{},
		Operations: map[string]*Share{}, Latency: map[string]Latency{}, Logs: map[string]int{}, Outcomes: map[string]float64{},
		hist: map[string]*hdrhistogram.Histogram{}, served: map[*model.Customer]*[2]float64{},
	}
}

// SecondAt is the second of a clock time.
func (f *Results) SecondAt(now float64) *Second {
	i := int(max(0, now-f.StartedAt))
	for len(f.Seconds) <= i {
		f.Seconds = append(f.Seconds, Second{})
	}
	return &f.Seconds[i]
}

func share(m map[string]*Share, name string) *Share {
	if m[name] == nil {
		m[name] = &Share{}
	}
	return m[name]
}

// AddShare adds something to the account of a need, at the second when it was first asked for.
func (f *Results) AddShare(n *model.Request, s Share) {
	f.Total.Add(s)
	f.SecondAt(n.CreatedAt).Add(s)
	share(f.Plans, n.Customer.Plan.Name).Add(s)
	share(f.QuotaUses, model.QuotaUseNames[n.Customer.QuotaUse]).Add(s)
	share(f.Operations, n.Operation.Name).Add(s)
}

// CountOutcome counts how one try ended for its client.
func (f *Results) CountOutcome(how model.Outcome) { f.Outcomes[model.OutcomeNames[how]]++ }

// CloseRequest counts what became of a need that was inside its customer's quota.
func (f *Results) CloseRequest(n *model.Request, took, now float64) {
	if n.LastOutcome == model.Served {
		i := int(max(0, now-f.StartedAt))
		for len(f.took) <= i {
			f.took = append(f.took, nil)
		}
		f.took[i] = append(f.took[i], took)
		f.time("all", took)
		f.time("operation "+n.Operation.Name, took)
		f.time("plan "+n.Customer.Plan.Name, took)
		f.time("customers "+model.QuotaUseNames[n.Customer.QuotaUse], took)
	}
	v, s := n.Value(), Share{}
	if n.LastOutcome == model.Served && took <= n.Operation.Objective.V() && !n.BeyondQuota {
		s.ServedOfSent = v
	}
	if !n.WithinQuota {
		if s.ServedOfSent > 0 {
			f.AddShare(n, s)
		}
		return
	}
	switch {
	case n.LastOutcome == model.Served && took <= n.Operation.Objective.V():
		s.Served, s.NetValue = v, v
	case n.LastOutcome == model.Served:
		s.Late, s.NetValue = v, v*n.Operation.Late.V()
	case n.LastOutcome == model.Throttled && n.QuotaHadRoom:
		s.ThrottledWithRoom = v
	case n.LastOutcome == model.Throttled:
		s.ThrottledWithoutRoom = v
	case n.LastOutcome == model.Errored:
		s.Errored = v
	default:
		s.Lost = v
	}
	f.AddShare(n, s)
	c := f.served[n.Customer]
	if c == nil {
		c = &[2]float64{}
		f.served[n.Customer] = c
	}
	c[0], c[1] = c[0]+s.Served, c[1]+v
}

func (f *Results) time(name string, took float64) {
	h := f.hist[name]
	if h == nil {
		h = hdrhistogram.New(1, 600_000_000, 3)
		f.hist[name] = h
	}
	h.RecordValue(max(1, int64(took*1e6)))
}

// Quantile is a quantile of the answers' times in seconds, of an operation or "all".
func (f *Results) Quantile(name string, q float64) float64 {
	if f.hist[name] == nil {
		return 0
	}
	return float64(f.hist[name].ValueAtQuantile(100*q)) / 1e6
}

// Finish closes the count. customers are in a fixed order.
func (f *Results) Finish(customers []*model.Customer) {
	for name, h := range f.hist {
		f.Latency[name] = Latency{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(90)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
	}
	for i := range f.Seconds {
		if i < len(f.took) && len(f.took[i]) > 0 {
			slices.Sort(f.took[i])
			f.Seconds[i].P50 = ms(int64(1e6 * stat.Quantile(0.5, stat.Empirical, f.took[i], nil)))
			f.Seconds[i].P99 = ms(int64(1e6 * stat.Quantile(0.99, stat.Empirical, f.took[i], nil)))
		}
	}
	sum, squares, n := 0.0, 0.0, 0.0
	for _, c := range customers {
		if x := f.served[c]; x != nil && x[1] > 0 {
			part := x[0] / x[1]
			sum, squares, n = sum+part, squares+part*part, n+1
		}
	}
	if squares > 0 {
		f.Fairness = sum * sum / n / squares
	}
}

func ms(us int64) float64 { return math.Round(float64(us)) / 1000 }

// LatencyNames are the names under which answers were timed, in order, all of them first.
func (f *Results) LatencyNames() (names []string) {
	for name := range f.Latency {
		if name != "all" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return append([]string{"all"}, names...)
}

// OutcomeSummary says how tries ended for their clients.
func (f *Results) OutcomeSummary() (text []string) {
	for _, name := range model.OutcomeNames {
		if f.Outcomes[name] > 0 {
			text = append(text, fmt.Sprintf("%s %.0f", name, f.Outcomes[name]))
		}
	}
	return text
}

// Fraction is a share of what was asked for inside the quotas; 0 where nothing was.
func (s Share) Fraction(x float64) float64 {
	if s.Requested == 0 {
		return 0
	}
	return x / s.Requested
}

// Score is the worth of a day for what was asked for inside the quotas.
func (f *Results) Score() float64 { return f.Total.Fraction(f.Total.NetValue) }

// Encode writes the figures in one form only: same day, same seed, same bytes.
func (f *Results) Encode() []byte {
	b, err := json.MarshalIndent(f, "", " ")
	if err != nil { // no figure is infinite or not a number
		panic(err)
	}
	return append(b, '\n')
}

// SortedNames are the keys of a map of shares, in order.
func SortedNames(m map[string]*Share) []string {
	var all []string
	for name := range m {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
