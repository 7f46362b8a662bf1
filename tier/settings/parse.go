package settings

import (
	"os"
	"strings"

	"github.com/magiconair/properties"
	"github.com/samber/oops"
)

// FileVariable is the name of the environment variable with the path of the settings file.
const FileVariable = "OTTERSEAM_NODE_FILE"

// zonePrefix is the prefix of the keys that map the name of a zone to its region.
const zonePrefix = "zones."

// Load reads the file whose path is in the environment variable FileVariable. If the variable is not set, the error is ErrNoFile.
func Load() (*Settings, error) {
	path := os.Getenv(FileVariable)
	if path == "" {
		return nil, ErrNoFile
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.Wrapf(err, "settings file")
	}
	return Parse(string(text))
}

// Parse parses the text of a settings file. It ignores unknown fields. If a required field is missing or a field is invalid, it
// returns a FieldError.
func Parse(text string) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadBytes([]byte(text))
	if err != nil {
		return nil, oops.Wrapf(err, "settings file")
	}
	f := fields{file: file}
	s := &Settings{
		Node:             f.required("node"),
		Role:             f.required("role"),
		MachineClass:     f.optional("machine_class"),
		IP:               f.required("ip"),
		Zone:             f.required("zone"),
		Zones:            f.withPrefix(zonePrefix),
		ListenFront:      f.optional("listen.front"),
		ListenReadiness:  f.optional("listen.readiness"),
		ListenControl:    f.optional("listen.control"),
		Seeds:            splitList(f.optional("seeds")),
		Bootstrap:        f.boolean("bootstrap", false),
		DataDir:          f.optional("data_dir"),
		MemoryMB:         f.integer("limits.memory_mb"),
		MaxFDs:           f.integer("limits.max_fds"),
		DiskMB:           f.integer("limits.disk_mb"),
		Heartbeat:        f.milliseconds("heartbeat_ms", defaultHeartbeat),
		TolerateMachines: f.integer("tolerate.machines"),
		Bounds: Bounds{
			Drain: f.milliseconds("bounds.drain_ms", defaultDrain),
			Grace: f.seconds("bounds.grace_s", defaultGrace),
			Ack:   f.milliseconds("bounds.ack_ms", defaultAck),
		},
	}
	s.FirstPort, s.LastPort = f.portRange("internal_ports")
	return s, f.firstError()
}

// splitList returns the non-empty parts of a comma-separated text, without surrounding spaces.
func splitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
