package tiercluster

import (
	"fmt"
	"net"
	"strconv"
)

// Options selects the machines of a cluster and where they run.
type Options struct {
	Program         string // path of the otterseam-tier binary
	Dir             string // holds settings, data and logs
	Network         int    // 1 to 250: third octet of the addresses, different for each cluster of one process
	ProcessID       int    // of the starting process, so that clusters of several processes don't collide; 0: addresses 127.0.N.x and the default ports
	Fronts          int    // machines with an agent and a proxy
	Controls        int    // machines with a control process
	Stores          int    // machines with a store process
	ToleratedLosses int    // machines whose loss the tier has to survive
	InitiallyDown   []string
	Limits          map[string]Limits // by role; a role that is missing is told of no limits
}

// Limits are the limits that the settings file tells a process. The harness doesn't enforce them. 0 leaves a limit out.
type Limits struct {
	MemoryMB int
	MaxFDs   int
	DiskMB   int
}

// settings returns the keys and values of the limits in a settings file.
func (l Limits) settings() [][2]string {
	var all [][2]string
	for _, limit := range []struct {
		key   string
		value int
	}{{"limits.memory_mb", l.MemoryMB}, {"limits.max_fds", l.MaxFDs}, {"limits.disk_mb", l.DiskMB}} {
		if limit.value > 0 {
			all = append(all, [2]string{limit.key, strconv.Itoa(limit.value)})
		}
	}
	return all
}

// Ports of each machine.
const (
	frontPort           = 8149
	readinessPort       = 8141
	controlPort         = 8144
	defaultInternalPort = 7380 // the first one where Options.ProcessID is 0
	internalPorts       = 16
)

// Internal ports of clusters with a process ID. They are below the ephemeral ports, which the system assigns to outgoing connections.
const (
	internalPortBase   = 10000
	internalPortRanges = 1400
	// secondOctetRange is the number of values used for the second octet of an address.
	secondOctetRange = 250
)

// ip returns the address of a machine. Machine numbers start at 1.
func (o Options) ip(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", o.ProcessID%secondOctetRange, o.Network, machine)
}

// firstInternalPort returns the first of the internal ports. The ports depend on the process ID because agents listen on 127.0.0.1,
// where clusters of two processes with the same ports would collide whatever their other addresses are.
func (o Options) firstInternalPort() int {
	if o.ProcessID == 0 {
		return defaultInternalPort
	}
	return internalPortBase + o.ProcessID%internalPortRanges*internalPorts
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
