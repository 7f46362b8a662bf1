// Package days holds the days that come with the laboratory.
package days

import (
	"embed"

	"otterseam/lab/bundled"
	"otterseam/lab/day"
)

//go:embed *.toml
var files embed.FS

var set = bundled.Set{Files: files, Folder: ".", Sort: "day"}

// Names are the days there are, in order.
func Names() []string { return set.Names() }

// Load reads a day by its name, or from a file.
func Load(name string) (*day.Day, error) {
	file, text, err := set.Read(name)
	if err != nil {
		return nil, err
	}
	return Over(file, text)
}

// Over reads a day, on top of the one that comes with the program which it names as its base.
func Over(file string, text []byte) (*day.Day, error) {
	name := day.BaseOf(text)
	if name == "" {
		return day.Read(file, text)
	}
	b, err := set.Bundled(name)
	if err != nil || day.BaseOf(b) != "" {
		return nil, day.Faults{{File: file, Key: "base", What: "there is no day of that name to build on; there are " + set.List()}}
	}
	base, err := day.Read(name+".toml", b)
	if err != nil {
		return nil, err
	}
	return day.ReadOver(file, text, base)
}
