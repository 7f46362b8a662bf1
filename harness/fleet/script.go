package fleet

import (
	"embed"
	"fmt"

	"otterseam/harness/sockets"
	"otterseam/sim/assets"
	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
)

// maxGateways is how many api gateway processes one machine should run.
const maxGateways = 32

//go:embed scripts/*.toml
var scriptFiles embed.FS

var scripts = assets.Set{Files: scriptFiles, Folder: "scripts", Kind: "script"}

// Names are the scripts that come with the program, in order.
func Names() []string { return scripts.Names() }

// Load reads a script by its name, or from a file, and checks it.
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

// Check returns a *sockets.UnplayableError if something of a script can't be played.
func Check(script *scenario.Scenario) error {
	if err := sockets.Check(script); err != nil {
		return err
	}
	if script.Fleet.Gateways.Hi > maxGateways {
		return &sockets.UnplayableError{Scenario: script.Name, Reason: fmt.Sprintf(
			"%.0f api gateways are more processes than one machine should run: at most %d", script.Fleet.Gateways.Hi, maxGateways)}
	}
	return nil
}
