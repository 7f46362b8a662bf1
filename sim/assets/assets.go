package assets

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"
)

// extension is that of all bundled files.
const extension = ".toml"

// Set is the bundled files of one kind.
type Set struct {
	Files  fs.FS
	Folder string // in which they lie; "." for the top
	Kind   string // what messages call one of them
}

// NotFoundError says that a name is neither that of a bundled file nor of a file on disk. It is fs.ErrNotExist to errors.Is.
type NotFoundError struct {
	Name  string
	Kind  string
	Known []string // the names that there are
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s: no such file, and no %s of that name; there are %s", e.Name, e.Kind, strings.Join(e.Known, ", "))
}

// Is says that the error is one of a file that does not exist.
func (e *NotFoundError) Is(target error) bool { return target == fs.ErrNotExist }

// Names are those of the bundled files, without folder and extension, in order.
func (s Set) Names() []string {
	var names []string
	files, _ := fs.Glob(s.Files, path.Join(s.Folder, "*"+extension)) // the pattern is good
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), extension))
	}
	return names
}

// Read reads a bundled file by its name, or else the file on disk whose path the name is. file is what to call it in messages.
// A bare name that is neither ends in a *NotFoundError.
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

// List is the names as messages show them.
func (s Set) List() string { return strings.Join(s.Names(), ", ") }
