package scenario

// FaultKind describes a kind of fault.
type FaultKind struct {
	Name         string
	Description  string
	Part         string // what Fault.Part is a share of; "" if the kind ignores it
	Size         string // meaning of Fault.Size; "" if the kind ignores it
	Lasts        bool   // whether it needs a duration
	Needs        string // what the scenario must have: "operation", "peers", "counter" or ""
	PositiveSize bool   // whether the size must be greater than 0
}

// FaultKinds lists the kinds of faults in the order of the documentation.
var FaultKinds = []FaultKind{
	{Name: "slow", Description: "hosts work at a part of their speed", Part: "hosts", Size: "how many times slower", Lasts: true, PositiveSize: true},
	{Name: "silent", Description: "hosts answer nothing and run nothing; connections stay open", Part: "hosts", Lasts: true},
	{Name: "vanish", Description: "hosts are silent, then back cold", Part: "hosts", Lasts: true},
	{Name: "operation-silent", Description: "hosts leave a part of one operation's deliveries unanswered", Part: "hosts", Size: "part of them", Lasts: true, Needs: "operation"},
	{Name: "errors", Description: "hosts answer a part of the deliveries with an error, after they ran", Part: "hosts", Size: "part of them", Lasts: true},
	{Name: "spoilt", Description: "a part of the answers can't be read; their delivery has run", Part: "hosts", Size: "part of them", Lasts: true},
	{Name: "refuse", Description: "hosts hold fewer connections", Part: "hosts", Size: "part of their limit", Lasts: true},
	{Name: "replace", Description: "hosts drain and leave, one after another, and new cold ones come in their place", Part: "hosts", Lasts: true},
	{Name: "grow", Description: "cold hosts come on top", Part: "of the hosts there are", Lasts: false},
	{Name: "reset", Description: "connections are reset under a part of the deliveries, half of them after they ran", Size: "part of them", Lasts: true},
	{Name: "delay", Description: "the way between machines takes longer", Size: "how many times", Lasts: true, PositiveSize: true},
	{Name: "cut", Description: "zones are cut off from the others and from the counter", Part: "zones, at most all but one", Lasts: true},
	{Name: "half-open", Description: "a part of the answers never arrives though the connection stays open", Size: "part of them", Lasts: true},
	{Name: "counter-silent", Description: "the counter answers nothing and adds nothing", Lasts: true, Needs: "counter"},
	{Name: "counter-refuse", Description: "the counter takes no connections", Lasts: true, Needs: "counter"},
	{Name: "counter-small", Description: "the counter takes a part of its calls a second", Size: "part of its capacity", Lasts: true, Needs: "counter", PositiveSize: true},
	{Name: "counter-drop", Description: "the counter adds all but answers only a part of the calls", Size: "part answered", Lasts: true, Needs: "counter"},
	{Name: "counter-split", Description: "a part of the api gateways sees another copy of the counter; the first copy's counts stand afterwards", Part: "api gateways", Lasts: true, Needs: "counter"},
	{Name: "counter-takeover", Description: "the counter is kept by several: the names whose leader is gone are turned away until another leads; nothing is lost", Part: "names", Lasts: true, Needs: "counter"},
	{Name: "counter-replaced", Description: "the counter is replaced by an empty one at a stroke", Lasts: false, Needs: "counter"},
	{Name: "list-late", Description: "changes of the list come later", Size: "how many times", Lasts: true, PositiveSize: true},
	{Name: "list-silent", Description: "changes of the list don't come until it ends", Lasts: true},
	{Name: "list-wrong", Description: "the list says of some hosts that they drain, though they work", Part: "hosts", Lasts: true},
	{Name: "mail-loss", Description: "mail between api gateways is lost", Size: "part lost", Lasts: true, Needs: "peers"},
	{Name: "burst", Description: "customers ask for more", Part: "customers", Size: "how many times", Lasts: true, PositiveSize: true},
	{Name: "gather", Description: "customers come in through one api gateway of their set only", Part: "customers", Lasts: true},
	{Name: "move", Description: "customers come in through another set from now on", Part: "customers", Lasts: false},
	{Name: "ignore", Description: "customers that were throttled come again at once, as often as size says", Part: "customers", Size: "further tries", Lasts: true},
	{Name: "impatient", Description: "clients give up after a part of their time", Part: "customers", Size: "part of their time", Lasts: true, PositiveSize: true},
	{Name: "kill", Description: "api gateways are killed; each is back with empty hands after the time it lasts", Part: "api gateways", Lasts: true},
	{Name: "restart", Description: "api gateways are restarted, one after another: each ends what it holds, then starts with empty hands", Part: "api gateways", Lasts: true},
	{Name: "starve", Description: "api gateways get a part of their share of a core", Part: "api gateways", Size: "part of it", Lasts: true, PositiveSize: true},
}

// FaultKindOf returns the kind of fault of a name, and whether there is one.
func FaultKindOf(name string) (FaultKind, bool) {
	for _, kind := range FaultKinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return FaultKind{}, false
}
