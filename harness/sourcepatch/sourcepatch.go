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

// Patch replaces a piece of text in one source file.
type Patch struct {
	Bug  string // name of the fault, the value of Variable that turns it on
	File string // path relative to the module's root folder
	From string // text to replace, which must occur exactly once in the file
	To   string // replacement, in which BUG stands for an expression that is true if the fault is on
}

// Variable is the environment variable whose value names the fault to turn on in a patched program. At most one fault is on.
const Variable = "EDGE_BUG"

// Reasons why a patch can't be applied.
var (
	ErrNoImportBlock = errors.New("the file doesn't have exactly one import block")
	ErrNotOnce       = errors.New("the text to replace doesn't occur exactly once")
)

// PatchError reports a patch that can't be applied. It must not be ignored, because a test of a fault that was never injected
// shows nothing.
type PatchError struct {
	Bug  string
	File string
	Err  error
}

// Error names the fault, its file and the reason.
func (e *PatchError) Error() string { return fmt.Sprintf("%s: %s: %v", e.Bug, e.File, e.Err) }

// Unwrap returns the reason.
func (e *PatchError) Unwrap() error { return e.Err }

const (
	bugPackageFile = "harness/sourcepatch/bug/bug.go" // exists only in the overlay
	bugPackage     = `// Package bug exists only in the build overlay, not in the source.
package bug

import "os"

var on = os.Getenv("` + Variable + `")

// On reports whether a fault is on.
func On(name string) bool { return on == name }
`
	bugPlaceholder = "BUG"
	importBlock    = "\nimport (\n"
	bugImport      = "\t\"otterseam/harness/sourcepatch/bug\"\n"
)

// Build builds a command of this module with all patches applied and writes the binary to the path program. A fault is on only if
// Variable names it when the program runs. Build writes the patched files to dir. It returns a *PatchError if a patch can't be
// applied.
func Build(dir, program, command string, patches []Patch) error {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return fmt.Errorf("find the module's root folder: %w", err)
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

// Overlay writes patched copies of files of the module at root to dir and returns the path of the file for go build -overlay.
// It returns a *PatchError if a patch can't be applied.
func Overlay(root, dir string, patches []Patch) (string, error) {
	texts := map[string]string{bugPackageFile: bugPackage}
	for _, patch := range patches {
		if err := patch.apply(root, texts); err != nil {
			return "", &PatchError{Bug: patch.Bug, File: patch.File, Err: err}
		}
	}
	return writeOverlay(root, dir, texts)
}

// apply applies the patch to the text of its file in texts. The first patch of a file reads the file into texts.
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

// readWithBugImport reads a Go file and adds an import of package bug to its text.
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
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, overlay, 0o644)
}
