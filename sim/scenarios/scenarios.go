// Package scenarios holds the built-in scenarios, called days, of the simulator.
package scenarios

import (
	"embed"

	"otterseam/sim/assets"
	"otterseam/sim/scenario"
)

//go:embed *.toml
var files embed.FS

var set = assets.Set{Files: files, Folder: ".", Kind: "day"}

// Names returns the names of the built-in scenarios in sorted order.
func Names() []string { return set.Names() }

// Load reads a built-in scenario by name, or a scenario from a file by path.
func Load(name string) (*scenario.Scenario, error) {
	file, text, err := set.Read(name)
	if err != nil {
		return nil, err
	}
	return Over(file, text)
}

// Over parses the text of a scenario. If it names a base, it extends that built-in scenario, which must not have a base itself. The file
// name is used in error messages only.
func Over(file string, text []byte) (*scenario.Scenario, error) {
	name := scenario.BaseOf(text)
	if name == "" {
		return scenario.Read(file, text)
	}
	b, err := set.Bundled(name)
	if err != nil || scenario.BaseOf(b) != "" {
		return nil, scenario.InvalidError{{File: file, Key: "base", Message: "there is no day of that name to build on; there are " + set.List()}}
	}
	base, err := scenario.Read(name+".toml", b)
	if err != nil {
		return nil, err
	}
	return scenario.ReadOver(file, text, base)
}
