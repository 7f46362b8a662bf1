package settings

import (
	"sort"
	"time"
)

// Settings holds the settings of one process. Optional fields that are missing in the file have their default or are empty.
type Settings struct {
	Node             string // name of the machine
	Role             string
	MachineClass     string
	IP               string
	Zone             string
	Zones            map[string]string // region of each zone, by zone
	ListenFront      string            // address of a proxy for clients
	ListenReadiness  string            // address of a proxy for readiness probes
	ListenControl    string            // address of control for operators and hosts
	FirstPort        int               // first of the ports for traffic between processes
	LastPort         int
	Seeds            []string // control addresses of some machines
	Bootstrap        bool     // whether the process may bootstrap the cluster
	DataDir          string
	MemoryMB         int // 0 means that no limit is set
	MaxFDs           int // 0 means that no limit is set
	DiskMB           int // 0 means that no limit is set
	Heartbeat        time.Duration
	TolerateMachines int // number of machines that may be lost at once
	Bounds           Bounds
}

// Bounds holds the time limits that the platform sets for a process.
type Bounds struct {
	Drain time.Duration
	Grace time.Duration // time between the termination signal and the kill of the process
	Ack   time.Duration
}

// Defaults of optional fields.
const (
	defaultHeartbeat = 1200 * time.Millisecond
	defaultDrain     = 2 * time.Second
	defaultGrace     = 8 * time.Second
	defaultAck       = 4 * time.Second
)

// Require checks that the fields that a role needs are set. It takes the value of each field by its key and returns a FieldError for
// the empty field whose key is the first in alphabetical order.
func Require(fields map[string]string) error {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if fields[key] == "" {
			return &FieldError{key, "is missing; this role requires it"}
		}
	}
	return nil
}
