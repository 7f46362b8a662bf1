package placementsim

// Policy determines the information by which hosts are chosen.
type Policy string

// The policies.
const (
	// OwnKnowledge uses a gateway's own requests and the load that hosts report in their answers.
	OwnKnowledge Policy = "own"
	// FleetKnowledge uses the requests that all gateways have in flight, as reported by the homes of the zones. Each gateway chooses
	// from a random sample of the hosts.
	FleetKnowledge Policy = "fleet"
	// HomePlacement lets the home of the zone choose the host of each request. Without a home, gateways choose as in FleetKnowledge.
	HomePlacement Policy = "home"
	// Omniscient uses the actual load of all hosts at the moment of the choice.
	Omniscient Policy = "omniscient"
)

// Scenario holds the parameters of a simulation. Times are in seconds.
type Scenario struct {
	Policy   Policy
	Gateways int
	Hosts    int
	Zones    int
	Slots    int     // of each host
	Load     float64 // rate of requests relative to the capacity of all slots
	Service  float64 // mean service time on an idle host
	Slowdown float64 // relative increase in service time on a host whose slots are all in use
	Duration float64
	Seed     uint64

	// HomesFailAt is when the preferred home of each zone fails, or 0 for never. The other homes stay available.
	HomesFailAt float64
	// SlowHosts is the share of the hosts whose service takes three times as long.
	SlowHosts float64
}

// Result holds the measurements of a simulation. They exclude the first fifth of the time, except those of messages.
type Result struct {
	Scenario
	Requests int
	// WaitMean, WaitP50 and WaitP99 are the mean and quantiles of the time that a request waits at its host for a slot.
	WaitMean, WaitP50, WaitP99 float64
	// BusiestToMean is the ratio of the requests at the busiest host to the mean over all hosts, averaged over time.
	BusiestToMean float64
	// RemoteShare is the share of the requests that went to another zone.
	RemoteShare float64
	// MessagesPerSecond and BytesPerSecond are the traffic between a gateway and its home.
	MessagesPerSecond, BytesPerSecond float64
}
