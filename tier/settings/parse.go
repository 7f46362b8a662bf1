package settings

import (
	"os"
	"strings"

	"github.com/magiconair/properties"
	"github.com/samber/oops"
)

// FileVariable is the environment variable that holds the path of the settings file.
const FileVariable = "OTTERSEAM_NODE_FILE"

// zonePrefix stands before the name of a zone in the keys that give its region.
const zonePrefix = "zones."

// Load reads the file that the environment variable names. Without one the error is ErrNoFile.
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

// Parse reads the text of a settings file. Unknown fields are skipped; a needed field that is missing or wrong is a FieldError.
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
		MemoryMB:         f.integer("limits.memory_mb", 0),
		MaxFDs:           f.integer("limits.max_fds", 0),
		Heartbeat:        f.milliseconds("heartbeat_ms", defaultHeartbeat),
		TolerateMachines: f.integer("tolerate.machines", 0),
		Bounds: Bounds{
			Drain: f.milliseconds("bounds.drain_ms", defaultDrain),
			Grace: f.seconds("bounds.grace_s", defaultGrace),
			Ack:   f.milliseconds("bounds.ack_ms", defaultAck),
		},
	}
	s.FirstPort, s.LastPort = f.portRange("internal_ports")
	return s, f.firstError()
}

// splitList takes the parts of a text between commas, without the empty ones.
func splitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
