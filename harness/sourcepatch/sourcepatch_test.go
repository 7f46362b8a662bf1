package sourcepatch

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A patch whose text is missing or occurs twice must be an error. Otherwise the fault isn't injected, and a test that expects to
// detect it shows nothing.
func TestInapplicablePatchIsAnError(t *testing.T) {
	root := t.TempDir()
	files := map[string]string{
		"a.go": "package a\n\nimport (\n\t\"os\"\n)\n\nvar A, B = os.Args, os.Args\n",
		"b.go": "package a\n",
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(root, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		text  string
		cause error
		patch Patch
	}{
		{"0 times", ErrNotOnce, Patch{Bug: "X", File: "a.go", From: "nowhere"}},
		{"2 times", ErrNotOnce, Patch{Bug: "X", File: "a.go", From: "os.Args"}},
		{"no such", fs.ErrNotExist, Patch{Bug: "X", File: "c.go"}},
		{"import block", ErrNoImportBlock, Patch{Bug: "X", File: "b.go", From: "package"}},
	}
	for _, test := range tests {
		_, err := Overlay(root, t.TempDir(), []Patch{test.patch})
		if err == nil || !strings.Contains(err.Error(), test.text) {
			t.Errorf("want %q, got %v", test.text, err)
		}
		var patchError *PatchError
		if !errors.Is(err, test.cause) || !errors.As(err, &patchError) || patchError.Bug != "X" || patchError.File != test.patch.File {
			t.Errorf("want %v of %s, got %#v", test.cause, test.patch.File, err)
		}
	}
}

// A fault acts only in the patched program and only if the environment variable names it. The source stays unchanged.
func TestFaultActsOnlyIfNamed(t *testing.T) {
	const source = "../../cmd/wirehost/main.go"
	dir := t.TempDir()
	program := filepath.Join(dir, "wirehost")
	before, err := os.ReadFile(source)
	if err != nil {
		t.Fatal(err)
	}
	err = Build(dir, program, "otterseam/cmd/wirehost", []Patch{{
		Bug:  "Ends",
		File: "cmd/wirehost/main.go",
		From: "func main() {\n",
		To:   "func main() {\n\tif BUG {\n\t\tos.Exit(7)\n\t}\n",
	}})
	if err != nil {
		t.Fatal(err)
	}
	for env, want := range map[string]int{"": 0, "Other": 0, "Ends": 7} {
		command := exec.Command(program)
		command.Env = append(os.Environ(), Variable+"="+env)
		if err := command.Run(); err != nil && command.ProcessState == nil {
			t.Fatal(err)
		}
		if got := command.ProcessState.ExitCode(); got != want {
			t.Errorf("with fault %q the exit code is %d, want %d", env, got, want)
		}
	}
	after, err := os.ReadFile(source)
	if err != nil {
		t.Fatal(err)
	}
	if string(after) != string(before) {
		t.Error("the source was changed")
	}
}
