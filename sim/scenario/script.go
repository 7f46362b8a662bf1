package scenario

// QuotaStore describes the processes that store state of api gateways which must survive their restarts.
type QuotaStore struct {
	Count    Span   `day:"count" unit:"n" min:"0" max:"9" def:"0" about:"how many; 0: the counter counts"`
	Replicas Span   `day:"copies" unit:"n" min:"1" max:"5" def:"3" about:"how many hold each part: 1, 3 or 5"`
	Groups   Span   `day:"groups" unit:"n" min:"1" max:"64" def:"8" about:"parts into which names are spread"`
	Lost     Span   `day:"lost" unit:"s" min:"1s" max:"1h" def:"3s" about:"a silent keeper's part is copied to another after this"`
	Disk     bool   `day:"disk" def:"true" about:"they have disks"`
	Holds    string `day:"holds" one:"all|adds" def:"all" about:"all: what an api gateway says of itself; adds: counts by the counter's protocol alone"`
}

// ProcessFault describes a fault of a process, or of a link between two processes, that begins at a given time or on an event.
type ProcessFault struct {
	Kind           string `day:"kind" about:"see the kinds of faults"`
	From           string `day:"from" def:"" about:"links: clients, edge *, or some as in edge 0,2"`
	To             string `day:"to" def:"" about:"links: counter, discovery, host *, host 0,2, edge * or edge 0,2"`
	Way            string `day:"way" one:"both|there|back" def:"both" about:"links: which direction is struck"`
	TargetGateways string `day:"edge" def:"" about:"processes: api gateways by number, as in 0,2; all; or empty, and part says how many"`
	TargetStores   string `day:"keeper" def:"" about:"processes: keepers instead, by number, as in 0,2; *; leader: of most groups; some 2: drawn by the seed"`
	Part           Span   `day:"part" unit:"share" min:"0" max:"1" def:"1" about:"processes: part of all, drawn by the seed, where edge is empty; links: part of the datagrams that is struck"`
	At             Span   `day:"at" unit:"s" min:"0s" max:"24h" def:"0s" about:"when it begins, from the day's begin or from the event"`
	Lasts          Span   `day:"lasts" unit:"s" min:"0s" max:"24h" def:"0s" about:"how long; 0s: for good"`
	On             string `day:"on" def:"" about:"the event that it waits for; see the events"`
	EventGateways  string `day:"by" def:"" about:"of which api gateways the event is, as in 0,2; empty: of any"`
	Count          Span   `day:"count" unit:"n" min:"1" max:"1000000" def:"1" about:"the how many'th such event"`
	Text           string `day:"text" def:"" about:"event log: what the line holds"`
	Time           Span   `day:"time" unit:"s" min:"0s" max:"1m" def:"0s" about:"delay: how long; starve: the period"`
	Jitter         Span   `day:"jitter" unit:"s" min:"0s" max:"1m" def:"0s" about:"delay: mean of what comes on top"`
	Size           Span   `day:"size" unit:"x" min:"0" max:"1000000000" def:"0" about:"rate: bytes a second; full-disk: bytes a file may hold; starve: part of the time that is left"`
}

// Expectation describes a condition that must hold at the end of a script.
type Expectation struct {
	Kind     string `day:"what" about:"see the promises"`
	Text     string `day:"text" def:"" about:"what the figure is of; see the promises"`
	Gateways string `day:"edge" def:"" about:"of which api gateways, as in 0,2; empty: of all"`
	From     Span   `day:"from" unit:"s" min:"0s" max:"24h" def:"0s" about:"from which second on"`
	Until    Span   `day:"until" unit:"s" min:"0s" max:"24h" def:"24h" about:"up to which"`
	Min      Span   `day:"least" unit:"x" min:"0" max:"1000000000" def:"0" about:"at least so much"`
	Max      Span   `day:"most" unit:"x" min:"0" max:"1000000000" def:"1000000000" about:"at most so much"`
}
