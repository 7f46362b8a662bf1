// Package days holds the days that come with the laboratory.
package days

import (
	"embed"
	"errors"
	"io/fs"
	"os"
	"strings"

	"otterseam/lab/day"
)

//go:embed *.toml
var files embed.FS

// Names are the days there are, in order.
func Names() (names []string) {
	all, _ := fs.Glob(files, "*.toml") // the pattern is good
	for _, f := range all {
		names = append(names, strings.TrimSuffix(f, ".toml"))
	}
	return names
}

// Load reads a day by its name, or from a file.
func Load(name string) (*day.Day, error) {
	text, err := files.ReadFile(name + ".toml")
	if err == nil {
		return day.Read(name+".toml", text)
	}
	d, err := day.Load(name)
	if errors.Is(err, os.ErrNotExist) && !strings.ContainsAny(name, "./") {
		return nil, errors.New(name + ": no such file, and no day of that name; there are " + strings.Join(Names(), ", "))
	}
	return d, err
}
