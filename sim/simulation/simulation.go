package simulation

import (
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/countermodel"
	"otterseam/sim/discoverymodel"
	"otterseam/sim/eventqueue"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/gossip"
	"otterseam/sim/hostmodel"
	"otterseam/sim/metrics"
	"otterseam/sim/model"
	"otterseam/sim/network"
	"otterseam/sim/oracle"
	"otterseam/sim/scenario"
	"otterseam/sim/workload"
)

// PolicySource makes the policies of a simulation's api gateways.
type PolicySource interface {
	Name() string
	// NewPolicy makes the policy of an api gateway that starts; out takes its decisions.
	NewPolicy(s *Simulation, slot int, seed uint64, out policydriver.Output) (gatewaymodel.Policy, error)
	// Err is what ended the source before its time, if something did.
	Err() error
	// Close lets go of what the source holds.
	Close()
}

// Simulation is a scenario that is run with a seed.
type Simulation struct {
	Day      *scenario.Scenario
	Seed     uint64
	Queue    *eventqueue.Queue
	Hosts    []*hostmodel.Host
	Gateways []*gatewaymodel.Gateway
	Workload *workload.Generator
	Counter  *countermodel.Counter
	Oracle   *oracle.Oracle
	Results  *metrics.Results

	// KillGateway ends an api gateway outside the simulation, gracefully or not, and has it back after so many seconds.
	KillGateway func(slot int, downSeconds float64, graceful bool)
	// OnTrace is called with all that is noted of invocations, where it is set.
	OnTrace func(from int, ref, text string)

	network       *network.Network
	registry      *discoverymodel.Registry
	peers         *gossip.Network
	hostByAddr    map[string]*hostmodel.Host
	customerByKey map[string]*model.Customer
	policies      PolicySource

	// Invocations go to clientSide, changes of the list of hosts to notify: the simulation itself, unless gateways are external.
	clientSide workload.Environment
	notify     discoverymodel.Notify
	external   bool

	gatewayStarts uint64
	gatewaysAlive int
	usefulWork    float64 // core seconds whose answer served a client
	err           error

	storyRef   string // the invocation whose story is kept
	storyLines []string
	progress   func(at float64)
}

// Option changes how a scenario is run.
type Option func(*Simulation)

// WithStory has all that happens to one invocation written down.
func WithStory(ref string) Option { return func(s *Simulation) { s.storyRef = ref } }

// WithProgress has progress called each second of the simulation.
func WithProgress(progress func(at float64)) Option {
	return func(s *Simulation) { s.progress = progress }
}

// ExternalGateways has the api gateways be outside the simulation, on sockets: invocations go to clientSide, and notify is called when
// a gateway is told of a change of the list of hosts. The simulation then has hosts, counter, list and customers of its own, and no
// gateways.
func ExternalGateways(clientSide workload.Environment, notify func(gateway int, change policy.HostEntry)) Option {
	return func(s *Simulation) {
		s.clientSide = clientSide
		s.notify = notify
		s.external = true
	}
}

// New makes the simulation of a scenario, drawn by a seed, with the policies of a source.
func New(day *scenario.Scenario, seed uint64, policies PolicySource, options ...Option) *Simulation {
	s := &Simulation{
		Day:           day.Draw(seed),
		Seed:          seed,
		Queue:         &eventqueue.Queue{},
		hostByAddr:    map[string]*hostmodel.Host{},
		customerByKey: map[string]*model.Customer{},
		policies:      policies,
	}
	s.clientSide = s
	s.notify = s.hostChanged
	for _, option := range options {
		option(s)
	}
	day = s.Day
	gateways := day.Fleet.Gateways.Int()
	s.network = network.New(&day.Network, day.Fleet.Zones.Int(), seed)
	s.Counter = countermodel.New(s.Queue, &day.Counter, seed)
	s.Oracle = oracle.New(day, gateways, s.Queue.Now)
	s.Results = metrics.New(day.Name, policies.Name(), seed)
	s.registry = discoverymodel.New(s.Queue, &day.Discovery, gateways, seed, s.firstHosts(), s.notify)
	s.peers = gossip.New(s.Queue, &day.Peers, gateways, seed)
	if !s.external {
		s.addGateways(gateways)
	}
	s.Workload = workload.New(s.Queue, day, seed, s.clientSide)
	for _, customer := range s.Workload.Customers {
		s.customerByKey[customer.Key] = customer
	}
	return s
}

func (s *Simulation) addGateways(count int) {
	zones := s.Day.Fleet.Zones.Int()
	for slot := range count {
		s.Gateways = append(s.Gateways, gatewaymodel.New(slot, slot%zones, s.Queue, s.network, s.Counter, s.Day, s))
	}
}

// Network is the paths between the simulation's machines.
func (s *Simulation) Network() *network.Network { return s.network }

// HostList is the list of hosts as an api gateway was last told of it.
func (s *Simulation) HostList(gateway int) []policy.HostEntry { return s.registry.HostList(gateway) }

// QuotaHasRoom says whether a customer's quota has room for so many units, by what was really sent: for a policy that knows all.
func (s *Simulation) QuotaHasRoom(customerKey string, units float64) bool {
	customer := s.customerByKey[customerKey]
	return customer == nil || s.Oracle.QuotaHasRoom(customer, units)
}
