package sourcepatch

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// A patch that does not fit, or fits twice, is told: a bug that is not put in would be caught by nobody, and nobody would know.
func TestPatchesThatDoNotFit(t *testing.T) {
	root := t.TempDir()
	os.WriteFile(filepath.Join(root, "a.go"), []byte("package a\n\nimport (\n\t\"os\"\n)\n\nvar A, B = os.Args, os.Args\n"), 0o644)
	os.WriteFile(filepath.Join(root, "b.go"), []byte("package a\n"), 0o644)
	for want, p := range map[string]Patch{
		"0 times":     {"X", "a.go", "nowhere", ""},
		"2 times":     {"X", "a.go", "os.Args", ""},
		"no such":     {"X", "c.go", "", ""},
		"no block of": {"X", "b.go", "package", ""},
	} {
		if _, err := Overlay(root, t.TempDir(), []Patch{p}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

// A bug is in the program that was built with it, where it is asked for, and the source is as it was.
func TestABugIsOnlyWhereItIsAskedFor(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "wirehost")
	before, err := os.ReadFile("../../cmd/wirehost/main.go")
	if err != nil {
		t.Fatal(err)
	}
	if err := Build(dir, program, "otterseam/cmd/wirehost", []Patch{{
		"Ends", "cmd/wirehost/main.go", "func main() {\n",
		"func main() {\n\tif BUG {\n\t\tos.Exit(7)\n\t}\n",
	}}); err != nil {
		t.Fatal(err)
	}
	for env, want := range map[string]int{"": 0, "Other": 0, "Ends": 7} {
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), Variable+"="+env)
		cmd.Run()
		if got := cmd.ProcessState.ExitCode(); got != want {
			t.Errorf("with %q it ends with %d, want %d", env, got, want)
		}
	}
	if after, _ := os.ReadFile("../../cmd/wirehost/main.go"); string(after) != string(before) {
		t.Error("the source was changed")
	}
}
