package scenario

import (
	"slices"
	"strings"
)

// NamedItem is an entry of a list in the documentation and in help texts.
type NamedItem struct{ Name, Description string }

// ProcessFaultKinds lists the kinds of ProcessFault. The first linkFaultKinds entries are link faults.
var ProcessFaultKinds = []NamedItem{
	{"drop", "nothing gets through; new connections never come up; datagrams are lost (part of them)"},
	{"stall", "connections are accepted and pass nothing on until it ends"},
	{"delay", "what passes takes time and jitter longer"},
	{"rate", "at most size bytes a second pass"},
	{"double", "datagrams come twice (part of them)"},
	{"disorder", "datagrams come later than the ones behind them (part of them), by time"},
	{"half-open", "the far side of each connection is ended, the near side isn't told"},
	{"reset", "connections are reset in the middle of the next message"},
	{"refuse", "new connections are refused"},
	{"kill", "SIGKILL; started again after lasts, if that is given"},
	{"wipe", "SIGKILL and its folder removed; started again, with an empty one, after lasts"},
	{"freeze", "SIGSTOP, then SIGCONT after lasts"},
	{"term", "SIGTERM; started again, once it has ended, after lasts"},
	{"start", "started, if it does not run"},
	{"twice", "started a second time under the same name"},
	{"full-disk", "its files can't grow beyond size bytes"},
	{"starve", "stopped and let go in turn, so that it runs for a part of the time"},
}

// linkFaultKinds is the number of link faults in ProcessFaultKinds.
const linkFaultKinds = 9

// Events lists the events that can trigger a fault. The fault takes effect before the processing that follows the event goes on.
var Events = []NamedItem{
	{"taken", "a client's try has been sent to the api gateway"},
	{"called", "a call has reached the counter, which has not added yet"},
	{"added", "the counter has added and not answered"},
	{"delivery", "a delivery is whole at a host that has not seen it yet"},
	{"ran", "a host has begun to run a delivery"},
	{"answering", "a host has done its work and not answered"},
	{"told", "discovery tells of a change"},
	{"answered", "a client has its answer"},
	{"mail", "a datagram of the api gateway is on its way"},
	{"log", "a line of its log holds the text"},
}

// ExpectationKinds lists the measurements for which a script can set bounds.
var ExpectationKinds = []NamedItem{
	{"served", "part of the value asked for inside quotas that was served in time"},
	{"served-value", "value served in time within quotas, a second"},
	{"throttled", "part of that value that was throttled"},
	{"errored", "part of that value that was errored, unanswered or broken"},
	{"beyond", "part of what was sent on that was beyond quotas"},
	{"deliveries", "deliveries begun, a second"},
	{"dials", "new connections to hosts, a second"},
	{"calls", "calls to the counter, a second"},
	{"tries", "tries of clients, in all"},
	{"log", "log lines that hold the text, in all"},
	{"struck", "faults that found something to strike, in all"},
	{"mail", "datagrams between api gateways, a second and api gateway"},
	{"runs", "api gateways that run at the end"},
	{"promised-lost", "keepers: things promised and not there at the end"},
	{"put-back-twice", "keepers: things counted more often than they were told"},
	{"second-effects", "invocations that may have run twice and must not"},
	{"kept-answers", "keepers: things they promised, in all"},
}

// hasName reports whether a list has an item of the name.
func hasName(list []NamedItem, name string) bool {
	return slices.ContainsFunc(list, func(n NamedItem) bool { return n.Name == name })
}

// joinNames returns the names of a list, separated by commas, for error messages.
func joinNames(list []NamedItem) string {
	var names []string
	for _, item := range list {
		names = append(names, item.Name)
	}
	return strings.Join(names, ", ")
}

// IsLinkFault reports whether a kind of ProcessFault affects links.
func IsLinkFault(kind string) bool { return hasName(ProcessFaultKinds[:linkFaultKinds], kind) }
