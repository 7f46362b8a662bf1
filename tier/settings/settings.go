// Package settings reads and checks the settings file of a process of the serving tier.
package settings

import (
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/samber/oops"
)

// FileVariable is the environment variable that holds the path of the settings file.
const FileVariable = "OTTERSEAM_NODE_FILE"

// Settings is what one process knows from its settings file. Fields that the file may leave out are empty.
type Settings struct {
	Node             string
	Role             string
	MachineClass     string
	IP               string
	Zone             string
	Zones            map[string]string // zone to region
	ListenFront      string
	ListenReadiness  string
	ListenControl    string
	FirstPort        int // the first of the ports for traffic between processes
	LastPort         int
	Seeds            []string // control addresses of some machines
	Bootstrap        bool
	DataDir          string
	MemoryMB         int
	MaxFDs           int
	Heartbeat        time.Duration
	TolerateMachines int
	Bounds           Bounds
}

// Bounds holds those time bounds of the rules that a process acts upon.
type Bounds struct {
	Drain time.Duration
	Grace time.Duration
	Ack   time.Duration
}

const (
	defaultHeartbeat = 1200 * time.Millisecond
	defaultDrain     = 2 * time.Second
	defaultGrace     = 8 * time.Second
	defaultAck       = 4 * time.Second
	portsNeeded      = 4
)

// Load reads the file that the environment variable names.
func Load() (*Settings, error) {
	path := os.Getenv(FileVariable)
	if path == "" {
		return nil, oops.Errorf("%s is not set; it has to hold the path of the settings file", FileVariable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.Wrapf(err, "settings file")
	}
	return Parse(string(text))
}

// Parse reads the text of a settings file. Unknown fields are skipped; a needed field that is missing or wrong is an error
// that names it.
func Parse(text string) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadBytes([]byte(text))
	if err != nil {
		return nil, oops.Wrapf(err, "settings file")
	}
	r := reader{file: file}
	s := &Settings{
		Node:             r.text("node"),
		Role:             r.text("role"),
		MachineClass:     file.GetString("machine_class", ""),
		IP:               r.text("ip"),
		Zone:             r.text("zone"),
		Zones:            map[string]string{},
		ListenFront:      file.GetString("listen.front", ""),
		ListenReadiness:  file.GetString("listen.readiness", ""),
		ListenControl:    file.GetString("listen.control", ""),
		Seeds:            splitList(file.GetString("seeds", "")),
		Bootstrap:        r.boolean("bootstrap", false),
		DataDir:          file.GetString("data_dir", ""),
		MemoryMB:         r.number("limits.memory_mb", 0),
		MaxFDs:           r.number("limits.max_fds", 0),
		Heartbeat:        r.milliseconds("heartbeat_ms", defaultHeartbeat),
		TolerateMachines: r.number("tolerate.machines", 0),
		Bounds: Bounds{
			Drain: r.milliseconds("bounds.drain_ms", defaultDrain),
			Grace: r.seconds("bounds.grace_s", defaultGrace),
			Ack:   r.milliseconds("bounds.ack_ms", defaultAck),
		},
	}
	s.FirstPort, s.LastPort = r.portRange("internal_ports")
	for _, key := range file.Keys() {
		if zone, found := strings.CutPrefix(key, "zones."); found {
			s.Zones[zone] = file.GetString(key, "")
		}
	}
	return s, r.err
}

// Require checks that fields that a role cannot work without are there. It takes the name of each field and its value.
func Require(fields map[string]string) error {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if fields[name] == "" {
			return oops.Errorf("settings: %s is missing, which this role needs", name)
		}
	}
	return nil
}

// reader takes typed values from a file and keeps the first error.
type reader struct {
	file *properties.Properties
	err  error
}

func (r *reader) fail(key, problem string) {
	if r.err == nil {
		r.err = oops.Errorf("settings: %s %s", key, problem)
	}
}

func (r *reader) text(key string) string {
	value := strings.TrimSpace(r.file.GetString(key, ""))
	if value == "" {
		r.fail(key, "is missing")
	}
	return value
}

func (r *reader) boolean(key string, standard bool) bool {
	value, found := r.file.Get(key)
	if !found {
		return standard
	}
	parsed, err := strconv.ParseBool(strings.TrimSpace(value))
	if err != nil {
		r.fail(key, "is neither true nor false: "+value)
	}
	return parsed
}

func (r *reader) fraction(key string, standard float64) float64 {
	value, found := r.file.Get(key)
	if !found {
		return standard
	}
	parsed, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || parsed < 0 {
		r.fail(key, "is not a number of 0 or more: "+value)
		return standard
	}
	return parsed
}

func (r *reader) number(key string, standard int) int {
	return int(r.fraction(key, float64(standard)))
}

func (r *reader) milliseconds(key string, standard time.Duration) time.Duration {
	return time.Duration(r.fraction(key, float64(standard)/float64(time.Millisecond)) * float64(time.Millisecond))
}

func (r *reader) seconds(key string, standard time.Duration) time.Duration {
	return time.Duration(r.fraction(key, standard.Seconds()) * float64(time.Second))
}

func (r *reader) portRange(key string) (first, last int) {
	parts := splitList(r.text(key))
	if len(parts) == 2 {
		var errFirst, errLast error
		first, errFirst = strconv.Atoi(parts[0])
		last, errLast = strconv.Atoi(parts[1])
		if errFirst == nil && errLast == nil && first > 0 && last < 1<<16 && last-first+1 >= portsNeeded {
			return first, last
		}
	}
	r.fail(key, "has to name the first and the last of "+strconv.Itoa(portsNeeded)+" ports or more")
	return 0, 0
}

func splitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
