package assets

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"
)

// extension is the file name extension of all bundled files.
const extension = ".toml"

// Set holds the bundled files of one kind.
type Set struct {
	Files  fs.FS
	Folder string // directory of the files in Files; "." for the root
	Kind   string // name of the kind in messages
}

// NotFoundError reports a name that matches neither a bundled file nor a file on disk. errors.Is matches it with fs.ErrNotExist.
type NotFoundError struct {
	Name  string
	Kind  string
	Known []string // names of the bundled files
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s: no such file, and no %s of that name; there are %s", e.Name, e.Kind, strings.Join(e.Known, ", "))
}

// Is reports whether target is fs.ErrNotExist.
func (e *NotFoundError) Is(target error) bool { return target == fs.ErrNotExist }

// Names returns the sorted names of the bundled files, without directory and extension.
func (s Set) Names() []string {
	var names []string
	files, _ := fs.Glob(s.Files, path.Join(s.Folder, "*"+extension)) // Glob fails only for a malformed pattern
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), extension))
	}
	return names
}

// Read reads the bundled file of a name or, if there is none, the file on disk with the name as its path. file is the name of the file
// for messages. A name without dots and slashes that matches neither results in a *NotFoundError.
func (s Set) Read(name string) (file string, text []byte, err error) {
	if text, err = s.Bundled(name); err == nil {
		return name + extension, text, nil
	}
	text, err = os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) && !strings.ContainsAny(name, "./") {
		return "", nil, &NotFoundError{Name: name, Kind: s.Kind, Known: s.Names()}
	}
	return name, text, err
}

// Bundled reads a bundled file by its name.
func (s Set) Bundled(name string) ([]byte, error) {
	return fs.ReadFile(s.Files, path.Join(s.Folder, name+extension))
}

// List returns the names of the bundled files as a list for messages.
func (s Set) List() string { return strings.Join(s.Names(), ", ") }
