package sourcepatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Patch changes one place of the source.
type Patch struct {
	Bug  string // name of the fault, by which Variable switches it on
	File string // path below the module's folder
	From string // text to replace; the file has it exactly once
	To   string // its replacement; BUG in it is an expression that is true while the fault is on
}

// Variable is the environment variable that names the one fault that is on in a patched program.
const Variable = "EDGE_BUG"

// Reasons why a patch doesn't fit.
var (
	ErrNoImportBlock = errors.New("the file has no block of imports")
	ErrNotOnce       = errors.New("the text to replace isn't there exactly once")
)

// PatchError is a patch that can't be applied. It matters: a fault that isn't put in would show nothing.
type PatchError struct {
	Bug  string
	File string
	Err  error
}

// Error names the fault, its file and the reason.
func (e *PatchError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Bug, e.File, e.Err) }

// Unwrap gives the reason.
func (e *PatchError) Unwrap() error { return e.Err }

const (
	bugPackageFile = "harness/sourcepatch/bug/bug.go" // exists only in the overlay
	bugPackage     = `// Package bug is not part of the source: it is laid over it.
package bug

import "os"

var on = os.Getenv("` + Variable + `")

// On says whether a bug is on.
func On(name string) bool { return on == name }
`
	bugPlaceholder = "BUG"
	importBlock    = "\nimport (\n"
	bugImport      = "\t\"otterseam/harness/sourcepatch/bug\"\n"
)

// Build builds a command of this module to the path program with all patches applied. Each acts only where Variable names its
// fault. dir takes the patched files. It returns a *PatchError if a patch doesn't fit.
func Build(dir, program, command string, patches []Patch) error {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return fmt.Errorf("the module's folder: %w", err)
	}
	overlay, err := Overlay(strings.TrimSpace(string(root)), dir, patches)
	if err != nil {
		return err
	}
	output, err := exec.Command("go", "build", "-overlay", overlay, "-o", program, command).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build %s with patches: %w\n%s", command, err, output)
	}
	return nil
}

// Overlay writes patched copies of files of the module at root into dir, and gives the path of the file for go build -overlay.
// It returns a *PatchError if a patch doesn't fit.
func Overlay(root, dir string, patches []Patch) (string, error) {
	texts := map[string]string{bugPackageFile: bugPackage}
	for _, patch := range patches {
		if err := patch.apply(root, texts); err != nil {
			return "", &PatchError{Bug: patch.Bug, File: patch.File, Err: err}
		}
	}
	return writeOverlay(root, dir, texts)
}

// apply changes the text of the patch's file in texts, which gets the file when its first patch comes.
func (p Patch) apply(root string, texts map[string]string) error {
	text, ok := texts[p.File]
	if !ok {
		var err error
		if text, err = readWithBugImport(filepath.Join(root, p.File)); err != nil {
			return err
		}
	}
	if n := strings.Count(text, p.From); n != 1 {
		return fmt.Errorf("%w: %d times", ErrNotOnce, n)
	}
	replacement := strings.ReplaceAll(p.To, bugPlaceholder, fmt.Sprintf("bug.On(%q)", p.Bug))
	texts[p.File] = strings.Replace(text, p.From, replacement, 1)
	return nil
}

// readWithBugImport reads a Go file and adds the import of the bug package.
func readWithBugImport(path string) (string, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	text := string(source)
	if strings.Count(text, importBlock) != 1 {
		return "", ErrNoImportBlock
	}
	return strings.Replace(text, importBlock, importBlock+bugImport, 1), nil
}

func writeOverlay(root, dir string, texts map[string]string) (string, error) {
	replace := map[string]string{}
	for file, text := range texts {
		path := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return "", err
		}
		replace[filepath.Join(root, file)] = path
	}
	description, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, description, 0o644)
}
