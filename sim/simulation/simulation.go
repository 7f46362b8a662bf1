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

// PolicySource creates the policies of a simulation's api gateways.
type PolicySource interface {
	Name() string
	// NewPolicy creates the policy of an api gateway that starts. The policy passes its decisions to out.
	NewPolicy(s *Simulation, slot int, seed uint64, out policydriver.Output) (gatewaymodel.Policy, error)
	// Err returns the error that ended the source early, or nil.
	Err() error
	// Close releases the source's resources.
	Close()
}

// Simulation is one run of a scenario with one seed.
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

	// KillGateway, if set, stops an api gateway outside the simulation, gracefully or not, and restarts it after downSeconds.
	KillGateway func(slot int, downSeconds float64, graceful bool)
	// OnTrace, if set, is called with each trace line of an invocation.
	OnTrace func(from int, ref, text string)

	network       *network.Network
	registry      *discoverymodel.Registry
	peers         *gossip.Network
	hostByAddr    map[string]*hostmodel.Host
	customerByKey map[string]*model.Customer
	policies      PolicySource

	// clientSide receives invocations and notify receives changes of the list of hosts. Both are the simulation itself unless the
	// gateways are external.
	clientSide workload.Environment
	notify     discoverymodel.Notify
	external   bool

	gatewayStarts uint64
	gatewaysAlive int
	usefulWork    float64 // core seconds of attempts whose answer served a client
	err           error

	tracedRef  string // the invocation whose trace lines are kept
	traceLines []string
	progress   func(at float64)
}

// Option changes how a scenario is run.
type Option func(*Simulation)

// WithInvocationTrace keeps the trace lines of one invocation. TraceLines returns them.
func WithInvocationTrace(ref string) Option { return func(s *Simulation) { s.tracedRef = ref } }

// WithProgress sets a function that is called at the end of each simulated second.
func WithProgress(progress func(at float64)) Option {
	return func(s *Simulation) { s.progress = progress }
}

// ExternalGateways runs the simulation without gateways of its own, for api gateways that are real processes on sockets. Invocations go
// to clientSide, and notify is called when a gateway is due to receive a change of the list of hosts. Hosts, counter, list of hosts and
// customers remain those of the simulation.
func ExternalGateways(clientSide workload.Environment, notify func(gateway int, change policy.HostEntry)) Option {
	return func(s *Simulation) {
		s.clientSide = clientSide
		s.notify = notify
		s.external = true
	}
}

// New creates the simulation of a scenario whose ranges are drawn with the seed. The policies come from a source.
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
	s.registry = discoverymodel.New(s.Queue, &day.Discovery, gateways, seed, s.initialHosts(), s.notify)
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

// Network returns the model of the network between the simulation's machines.
func (s *Simulation) Network() *network.Network { return s.network }

// HostList returns the list of hosts as it was last published to an api gateway.
func (s *Simulation) HostList(gateway int) []policy.HostEntry { return s.registry.HostList(gateway) }

// QuotaHasRoom reports whether a customer's quota has room for units, counting what was really sent. It serves the omniscient policy.
func (s *Simulation) QuotaHasRoom(customerKey string, units float64) bool {
	customer := s.customerByKey[customerKey]
	return customer == nil || s.Oracle.QuotaHasRoom(customer, units)
}
