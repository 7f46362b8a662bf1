package scenario

// Scenario describes a deployment, its load and its faults. A number in it may be a range, from which Draw picks a value by seed.
type Scenario struct {
	Format        int            `day:"format" min:"1" max:"1" about:"version of this form; 1"`
	Name          string         `day:"name" about:"what the day is called in reports"`
	About         string         `day:"about" def:"" about:"one sentence for whoever reads the list of days"`
	Base          string         `day:"base" def:"" about:"a day that comes with the program; what is not given here is as there"`
	Length        Span           `day:"length" unit:"s" min:"1s" max:"24h" about:"how long clients come"`
	Fleet         Fleet          `day:"fleet" about:"sizes"`
	Network       Network        `day:"network" about:"the way between machines"`
	Hosts         []HostKind     `day:"host" about:"kinds of hosts"`
	Cold          ColdStart      `day:"cold" about:"hosts that have just started"`
	Operations    []Operation    `day:"operation" about:"what clients ask for"`
	Plans         []Plan         `day:"plan" about:"what customers are promised"`
	Clients       Clients        `day:"clients" about:"how much they ask for, and how they take an answer"`
	Counter       Counter        `day:"counter" about:"the shared counter"`
	Discovery     Discovery      `day:"discovery" about:"how the list of hosts gets to api gateways"`
	Peers         Peers          `day:"peers" about:"mail between api gateways"`
	Gateway       Gateway        `day:"gateway" about:"each api gateway"`
	Faults        []Fault        `day:"trouble" about:"what goes wrong, and when; they may overlap"`
	QuotaStore    QuotaStore     `day:"keepers" about:"scripts: keepers that hold counts, debts, marks and use for the api gateways"`
	ProcessFaults []ProcessFault `day:"fault" about:"scripts: faults of processes and of the links between them"`
	Expectations  []Expectation  `day:"promise" about:"scripts: what has to hold at the end"`
}

// Fleet holds the numbers of machines and zones.
type Fleet struct {
	Gateways Span `day:"gateways" unit:"n" min:"1" max:"5000" about:"api gateways"`
	Hosts    Span `day:"hosts" unit:"n" min:"1" max:"10000" about:"hosts at the start"`
	Zones    Span `day:"zones" unit:"n" min:"1" max:"16" def:"1" about:"zones; machines stand in them in turn"`
}

// Network describes the latency and the connections between machines.
type Network struct {
	WithinZone   Span `day:"near" unit:"s" min:"0s" max:"1s" def:"300us" about:"one way inside a zone"`
	BetweenZones Span `day:"far" unit:"s" min:"0s" max:"1s" def:"1ms" about:"one way between zones"`
	Jitter       Span `day:"jitter" unit:"share" min:"0" max:"10" def:"0.3" about:"mean of what comes on top, as a part of the way"`
	DialTimeout  Span `day:"dial_limit" unit:"s" min:"1ms" max:"30s" def:"250ms" about:"a connection not up by then is given up"`
	IdleTimeout  Span `day:"idle_close" unit:"s" min:"100ms" max:"1h" def:"15s" about:"hosts close a connection at rest for so long"`
}

// HostKind describes one kind of host.
type HostKind struct {
	Name        string `day:"name" about:"of the kind"`
	Share       Span   `day:"share" unit:"share" min:"0" max:"1" def:"1" about:"of all hosts, beside the other kinds' shares"`
	Cores       Span   `day:"cores" unit:"n" min:"1" max:"256" about:"pieces of work done at once"`
	Speed       Span   `day:"speed" unit:"x" min:"0.01" max:"100" def:"1" about:"of a core; drawn for each host"`
	Queue       Span   `day:"queue" unit:"n" min:"0" max:"100000" def:"64" about:"work that waits; what is more is turned away"`
	Connections Span   `day:"connections" unit:"n" min:"1" max:"100000" def:"512" about:"that it holds at most"`
	ConnectWork Span   `day:"connect_work" unit:"s" min:"0s" max:"1s" def:"500us" about:"work that a new connection costs it"`
}

// ColdStart describes the reduced capacity of hosts that have just started.
type ColdStart struct {
	Share  Span `day:"share" unit:"share" min:"0.01" max:"1" def:"0.2" about:"of its capacity that a host starts with"`
	Warm   Span `day:"warm" unit:"s" min:"0s" max:"10m" def:"10s" about:"until it has all of it"`
	Factor Span `day:"factor" unit:"x" min:"1" max:"100" def:"3" about:"sent so many times its present capacity, it falls over"`
	Window Span `day:"window" unit:"s" min:"100ms" max:"1m" def:"2s" about:"for so long"`
}

// Operation describes an operation that clients invoke.
type Operation struct {
	Name      string `day:"name" about:"of the operation"`
	Share     Span   `day:"share" unit:"share" min:"0" max:"1" def:"1" about:"of all invocations, beside the others' shares"`
	Work      Span   `day:"work" unit:"s" min:"10us" max:"1m" about:"mean work on a core of speed 1"`
	Spread    string `day:"spread" one:"exponential|even|fixed" def:"exponential" about:"of the work: exponential, even between half and one and a half of the mean, or always the mean"`
	Objective Span   `day:"objective" unit:"s" min:"1ms" max:"10m" about:"latency objective: the answer is wanted within this"`
	Timeout   Span   `day:"timeout" unit:"s" min:"1ms" max:"10m" about:"integration timeout: how long a client waits at most, all its tries together"`
	Value     Span   `day:"value" unit:"x" min:"0" max:"1000" def:"1" about:"billed value"`
	Late      Span   `day:"late" unit:"share" min:"0" max:"1" def:"0" about:"part of it that an answer after the objective is worth"`
	Effect    string `day:"effect" one:"idempotent|tokened|non-idempotent" about:"whether it may run again"`
	Group     string `day:"group" one:"all|zone|cell" def:"all" about:"tokened: the hosts that drop a repeat"`
	TokenTime Span   `day:"token_time" unit:"s" min:"0s" max:"10m" def:"0s" about:"tokened: for how long"`
}

// Plan describes a usage plan: the quota of its customers and its price.
type Plan struct {
	Name          string `day:"name" about:"of the plan"`
	Share         Span   `day:"share" unit:"share" min:"0" max:"1" def:"1" about:"of the load inside quotas, beside the others' shares"`
	Rate          Span   `day:"rate" unit:"/s" min:"0/s" max:"1000000/s" def:"0/s" about:"units a second for each customer; 0/s: no such quota"`
	Burst         Span   `day:"burst" unit:"x" min:"0" max:"10000000" def:"0" about:"units at once"`
	MaxConcurrent Span   `day:"max_out" unit:"n" min:"0" max:"100000" def:"0" about:"deliveries out at once; 0: no such quota"`
	UseRate       Span   `day:"use" unit:"/s" min:"0/s" max:"1000000/s" def:"0/s" about:"units a second that a customer at its quota asks for; 0/s: the rate"`
	CeilingRate   Span   `day:"ceiling_rate" unit:"/s" min:"0/s" max:"1000000/s" def:"0/s" about:"hard ceiling; 0/s: none"`
	CeilingBurst  Span   `day:"ceiling_burst" unit:"x" min:"0" max:"10000000" def:"0" about:"units at once under it"`
	OverCost      Span   `day:"over_cost" unit:"x" min:"0" max:"10" def:"1" about:"part of its value that a send beyond the quota costs"`
	Price         Span   `day:"price" unit:"x" min:"0" max:"100" def:"1" about:"factor on the billed value"`
}

// Clients describes the load from customers and how their clients retry and time out.
type Clients struct {
	Rate             Span `day:"rate" unit:"/s" min:"0.1/s" max:"1000000/s" about:"first tries a second inside the quotas, from all customers; what the others ask for comes on top"`
	Units            Span `day:"units" unit:"n" min:"1" max:"1000" def:"1" about:"most units of one invocation; drawn from 1, falling"`
	GatewaysEach     Span `day:"set" unit:"n" min:"1" max:"5000" def:"3" about:"api gateways a customer comes in through, at most all"`
	PreferredShare   Span `day:"uneven" unit:"share" min:"0" max:"1" def:"0.5" about:"part of a customer's invocations that goes to its present favourite"`
	PreferenceTime   Span `day:"change" unit:"s" min:"100ms" max:"24h" def:"8s" about:"how long it stays the favourite"`
	Near             Span `day:"near" unit:"share" min:"0" max:"1" def:"0.15" about:"customers that use nearly all of their quota"`
	Over             Span `day:"over" unit:"share" min:"0" max:"1" def:"0.1" about:"customers that ask for more"`
	OverBy           Span `day:"over_by" unit:"x" min:"1" max:"100" def:"3" about:"how many times their quota"`
	TailPower        Span `day:"heavy" unit:"x" min:"1.05" max:"100" def:"2.5" about:"power of the tail by which customers far under it differ; smaller: more uneven"`
	Patience         Span `day:"patience" unit:"share" min:"0.05" max:"1" def:"1" about:"part of the integration timeout that the shortest-tempered try is waited for"`
	Retries          Span `day:"retries" unit:"n" min:"0" max:"20" def:"1" about:"further tries of a client"`
	RetryWait        Span `day:"wait" unit:"s" min:"0s" max:"10m" def:"200ms" about:"mean wait before one, where no time to come back was told"`
	HonourRetryAfter Span `day:"follow" unit:"share" min:"0" max:"1" def:"0.8" about:"customers that keep to the time to come back"`
	MarkRetries      bool `day:"marked" def:"true" about:"clients mark their repeats"`
}

// Counter describes the shared counter of quota usage.
type Counter struct {
	Present     bool   `day:"present" def:"true" about:"there is one"`
	Partitions  Span   `day:"parts" unit:"n" min:"1" max:"64" def:"1" about:"parts, by name"`
	Capacity    Span   `day:"capacity" unit:"/s" min:"0.1/s" max:"10000000/s" def:"100000/s" about:"calls a second that all parts together take"`
	Queue       Span   `day:"queue" unit:"n" min:"1" max:"1000000" def:"4096" about:"calls that wait at a part; what is more is turned away"`
	ServiceTime Span   `day:"time" unit:"s" min:"0s" max:"1s" def:"500us" about:"for a call, beside waiting and the way"`
	Timeout     Span   `day:"limit" unit:"s" min:"1ms" max:"10s" def:"50ms" about:"a call is given up after this"`
	Settles     bool   `day:"settles" def:"false" about:"units are a guess and the answer brings the true ones"`
	Zone        string `day:"zone" one:"spread|own" def:"spread" about:"spread: its way is that between zones for two thirds of the api gateways; own: near to all"`
}

// Discovery describes how changes of the host list reach the api gateways.
type Discovery struct {
	Delay Span `day:"delay" unit:"s" min:"0s" max:"10m" def:"500ms" about:"until a change is told; drawn for each change and api gateway from half of it to one and a half"`
}

// Peers describes the messages between api gateways.
type Peers struct {
	Allowed     bool `day:"allowed" def:"false" about:"api gateways may send each other mail"`
	MessageRate Span `day:"mail" unit:"/s" min:"0/s" max:"100000/s" def:"60/s" about:"messages that one takes in"`
	Delay       Span `day:"delay" unit:"s" min:"0s" max:"10s" def:"5ms" about:"mean time on the way"`
	Loss        Span `day:"loss" unit:"share" min:"0" max:"1" def:"0.01" about:"messages lost"`
}

// Gateway describes the properties that all api gateways share.
type Gateway struct {
	MaxAttempts   Span `day:"deliveries" unit:"n" min:"1" max:"100" def:"4" about:"for one invocation at most"`
	Cancel        bool `day:"cancel" def:"true" about:"a delivery may be withdrawn"`
	Cost          Span `day:"cost" unit:"s" min:"0s" max:"100ms" def:"20us" about:"CPU time for each thing it hears, on a whole core"`
	CoreShare     Span `day:"core" unit:"share" min:"0.01" max:"1" def:"0.5" about:"part of a core that it gets"`
	DrainGrace    Span `day:"grace" unit:"s" min:"0s" max:"1m" def:"250ms" about:"new work to a draining host may go on for so long"`
	ClockOffset   Span `day:"clock" unit:"s" min:"0s" max:"24h" def:"0s" about:"what their clock says as the day begins: the windows of quotas lie by it; on sockets it is the true time"`
	FailureNotice Span `day:"notice" unit:"s" min:"0s" max:"1m" def:"2s" about:"invocations go on coming to a dead one for so long"`
}

// Fault describes a fault that a simulation injects.
type Fault struct {
	Kind      string `day:"kind" about:"see the kinds"`
	At        Span   `day:"at" unit:"s" min:"0s" max:"24h" about:"when it begins"`
	Lasts     Span   `day:"lasts" unit:"s" min:"0s" max:"24h" def:"0s" about:"how long it lasts"`
	Part      Span   `day:"part" unit:"share" min:"0" max:"1" def:"1" about:"part of the machines or customers that are struck"`
	Size      Span   `day:"size" unit:"x" min:"0" max:"10000" def:"1" about:"how hard; see the kind"`
	Operation string `day:"operation" def:"" about:"the one operation that is struck"`
	Back      string `day:"back" one:"kept|empty|old" def:"kept" about:"with what the counter comes back"`
}
