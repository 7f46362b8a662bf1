// Package scenarios holds the days that come with the laboratory.
package scenarios

import (
	"embed"

	"otterseam/sim/assets"
	"otterseam/sim/scenario"
)

//go:embed *.toml
var files embed.FS

var set = assets.Set{Files: files, Folder: ".", Kind: "day"}

// Names are the days there are, in order.
func Names() []string { return set.Names() }

// Load reads a day by its name, or from a file.
func Load(name string) (*scenario.Scenario, error) {
	file, text, err := set.Read(name)
	if err != nil {
		return nil, err
	}
	return Over(file, text)
}

// Over reads a day, on top of the one that comes with the program which it names as its base.
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
