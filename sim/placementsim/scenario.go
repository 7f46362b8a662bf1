package placementsim

// Policy is by what gateways choose.
type Policy string

// The policies.
const (
	// OwnKnowledge is a gateway's own requests and the load that hosts tell in their answers.
	OwnKnowledge Policy = "own"
	// FleetKnowledge is what all gateways have in flight, told by the homes of the zones: each gateway chooses of a random sample.
	FleetKnowledge Policy = "fleet"
	// HomePlacement has the home of the zone choose for each request; without it gateways choose as with FleetKnowledge.
	HomePlacement Policy = "home"
	// Omniscient is the true load of all hosts at the moment of the choice.
	Omniscient Policy = "omniscient"
)

// Scenario is what is simulated. Times are in seconds.
type Scenario struct {
	Policy   Policy
	Gateways int
	Hosts    int
	Zones    int
	Slots    int     // of each host
	Load     float64 // requests that arrive, as a share of what all slots can serve
	Service  float64 // mean time of a request on an idle host
	Slowdown float64 // by how much longer a request takes on a host whose slots are all taken
	Duration float64
	Seed     uint64

	// HomesFailAt is when the preferred home of each zone fails, 0: never. The others are there.
	HomesFailAt float64
	// SlowHosts is the share of the hosts that take three times as long.
	SlowHosts float64
}

// Result is what was measured behind the first fifth of the time.
type Result struct {
	Scenario
	Requests int
	// WaitMean, WaitP50 and WaitP99 are of the time until a request has a slot.
	WaitMean, WaitP50, WaitP99 float64
	// BusiestToMean is the requests at the busiest host as a multiple of the mean, averaged over time.
	BusiestToMean float64
	// RemoteShare is the share of the requests that went to another zone.
	RemoteShare float64
	// MessagesPerSecond and BytesPerSecond are what a gateway exchanges with its home.
	MessagesPerSecond, BytesPerSecond float64
}
