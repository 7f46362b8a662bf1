package fleet

import (
	"embed"
	"fmt"

	"otterseam/harness/sockets"
	"otterseam/sim/assets"
	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
)

// maxGateways is the maximum number of api gateway processes on one machine.
const maxGateways = 32

//go:embed scripts/*.toml
var scriptFiles embed.FS

var scripts = assets.Set{Files: scriptFiles, Folder: "scripts", Kind: "script"}

// Names returns the names of the embedded scripts, sorted.
func Names() []string { return scripts.Names() }

// Load reads and checks a script, given the name of an embedded one or the path of a file.
func Load(name string) (*scenario.Scenario, error) {
	file, text, err := scripts.Read(name)
	if err != nil {
		return nil, err
	}
	script, err := scenarios.Over(file, text)
	if err != nil {
		return nil, err
	}
	return script, Check(script)
}

// Check returns a *sockets.UnplayableError if a script can't be run with real processes.
func Check(script *scenario.Scenario) error {
	if err := sockets.Check(script); err != nil {
		return err
	}
	if script.Fleet.Gateways.Hi > maxGateways {
		return &sockets.UnplayableError{Scenario: script.Name, Reason: fmt.Sprintf(
			"%.0f api gateways are too many processes for one machine: the maximum is %d", script.Fleet.Gateways.Hi, maxGateways)}
	}
	return nil
}
