package tiercluster

import (
	"fmt"
	"net"
	"strconv"
)

// Options say what is started.
type Options struct {
	Program         string // path of the otterseam-tier binary
	Dir             string // for settings, data and logs
	Network         int    // 1 to 250: the third part of the addresses, so that clusters of one process don't meet
	ProcessID       int    // of the process that starts the cluster, so that clusters of several don't meet; 0: addresses 127.0.N.x and the usual ports
	Fronts          int    // machines with an agent and a proxy
	Controls        int    // machines with a control process
	Stores          int    // machines with a store process
	ToleratedLosses int    // machines whose loss the tier has to bear
	InitiallyDown   []string
}

// Ports of each machine.
const (
	frontPort         = 8149
	readinessPort     = 8141
	controlPort       = 8144
	usualInternalPort = 7380 // the first one where Options.ProcessID is 0
	internalPorts     = 16
)

// Internal ports of clusters with a process ID: below those that the system gives to outgoing connections.
const (
	firstOwnPort  = 10000
	ownPortRanges = 1400
	// secondPartRange is how many numbers the second part of an address takes.
	secondPartRange = 250
)

// ip is the address of a machine by its number, from 1 on.
func (o Options) ip(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", o.ProcessID%secondPartRange, o.Network, machine)
}

// firstInternalPort is the first of the internal ports. Agents listen on 127.0.0.1, so that clusters of two processes with the same ports
// would meet there whatever their addresses are.
func (o Options) firstInternalPort() int {
	if o.ProcessID == 0 {
		return usualInternalPort
	}
	return firstOwnPort + o.ProcessID%ownPortRanges*internalPorts
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
