package settings

import (
	"sort"
	"time"
)

// Settings is what one process knows from its settings file. Fields that the file may leave out are empty.
type Settings struct {
	Node             string // the machine's name
	Role             string
	MachineClass     string
	IP               string
	Zone             string
	Zones            map[string]string // zone to region
	ListenFront      string            // for clients, of a proxy
	ListenReadiness  string            // for readiness probes, of a proxy
	ListenControl    string            // for operators and hosts, of control
	FirstPort        int               // the first of the ports for traffic between processes
	LastPort         int
	Seeds            []string // control addresses of some machines
	Bootstrap        bool     // the process may bootstrap the cluster
	DataDir          string
	MemoryMB         int // 0 means no limit is named
	MaxFDs           int // 0 means no limit is named
	Heartbeat        time.Duration
	TolerateMachines int // how many machines may be lost at once
	Bounds           Bounds
}

// Bounds holds those time bounds of the rules that a process acts upon.
type Bounds struct {
	Drain time.Duration
	Grace time.Duration // from the signal to end until the process is killed
	Ack   time.Duration
}

// Defaults of fields that the file may leave out.
const (
	defaultHeartbeat = 1200 * time.Millisecond
	defaultDrain     = 2 * time.Second
	defaultGrace     = 8 * time.Second
	defaultAck       = 4 * time.Second
)

// Require checks that fields that a role cannot work without are there. It takes the value of each field by its key, and returns
// a FieldError for the first of them, by key, that is empty.
func Require(fields map[string]string) error {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if fields[key] == "" {
			return &FieldError{key, "is missing, which this role needs"}
		}
	}
	return nil
}
