// Package assets finds the files that come with a program by their names, and others by their paths.
package assets

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"
)

// ending is that of all bundled files.
const ending = ".toml"

// Set is a set of files of one sort.
type Set struct {
	Files  fs.FS
	Folder string // in which they lie; "." for the top
	Kind   string // what one of them is called
}

// Names are the files there are, without folder and ending, in order.
func (s Set) Names() (names []string) {
	all, _ := fs.Glob(s.Files, path.Join(s.Folder, "*"+ending)) // the pattern is good
	for _, file := range all {
		names = append(names, strings.TrimSuffix(path.Base(file), ending))
	}
	return names
}

// Read reads a file of the set by its name. Else the name is a path outside it. It gives what to call the file in messages.
func (s Set) Read(name string) (file string, text []byte, err error) {
	if text, err = s.Bundled(name); err == nil {
		return name + ending, text, nil
	}
	text, err = os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) && !strings.ContainsAny(name, "./") {
		return "", nil, fmt.Errorf("%s: no such file, and no %s of that name; there are %s", name, s.Kind, s.List())
	}
	return name, text, err
}

// Bundled reads a file of the set only.
func (s Set) Bundled(name string) ([]byte, error) {
	return fs.ReadFile(s.Files, path.Join(s.Folder, name+ending))
}

// List is the names as messages tell them.
func (s Set) List() string { return strings.Join(s.Names(), ", ") }
