// Package sourcepatch lays changes over the program's own source for one build, so that tests can put a bug into it that the source
// itself has no word of. It must never write into the source.
package sourcepatch

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Patch is a change of one place. BUG in To stands for whether the bug is on.
type Patch struct {
	Bug  string
	File string // below the module's folder
	From string // there exactly once
	To   string
}

// Variable names the one bug that is on in a program built so.
const Variable = "EDGE_BUG"

const bugs = `// Package bug is not part of the source: it is laid over it.
package bug

import "os"

var on = os.Getenv("` + Variable + `")

// On says whether a bug is on.
func On(name string) bool { return on == name }
`

// Build builds a command of this module with all patches in it, each of which acts only where Variable names its bug. A patch
// that does not fit is an error: it would show nothing.
func Build(dir, program, command string, patches []Patch) error {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return fmt.Errorf("the module's folder: %w", err)
	}
	overlay, err := Overlay(strings.TrimSpace(string(root)), dir, patches)
	if err != nil {
		return err
	}
	if out, err := exec.Command("go", "build", "-overlay", overlay, "-o", program, command).CombinedOutput(); err != nil {
		return fmt.Errorf("%s with patches: %w\n%s", command, err, out)
	}
	return nil
}

// Overlay writes the patched files into a folder and gives the path of what go build wants to be told of them.
func Overlay(root, dir string, patches []Patch) (string, error) {
	texts := map[string]string{"harness/sourcepatch/bug/bug.go": bugs}
	for _, p := range patches {
		text, ok := texts[p.File]
		if !ok {
			b, err := os.ReadFile(filepath.Join(root, p.File))
			if err != nil {
				return "", fmt.Errorf("%s: %w", p.Bug, err)
			}
			if text = string(b); strings.Count(text, "\nimport (\n") != 1 {
				return "", fmt.Errorf("%s: %s has no block of imports", p.Bug, p.File)
			}
			text = strings.Replace(text, "\nimport (\n", "\nimport (\n\t\"otterseam/harness/sourcepatch/bug\"\n", 1)
		}
		if n := strings.Count(text, p.From); n != 1 {
			return "", fmt.Errorf("%s: %s has the place to be patched %d times", p.Bug, p.File, n)
		}
		texts[p.File] = strings.Replace(text, p.From, strings.ReplaceAll(p.To, "BUG", fmt.Sprintf("bug.On(%q)", p.Bug)), 1)
	}
	replace := map[string]string{}
	for file, text := range texts {
		path := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return "", err
		}
		replace[filepath.Join(root, file)] = path
	}
	b, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, b, 0o644)
}
