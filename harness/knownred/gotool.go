package main

import (
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
)

// goTool runs the go command in the folder root.
type goTool struct {
	root           string
	stdout, stderr io.Writer
}

func (g goTool) command(args ...string) *exec.Cmd {
	command := exec.Command("go", args...)
	command.Dir = g.root
	command.Stderr = g.stderr
	return command
}

// test runs go test and passes its output on to stdout and stderr.
func (g goTool) test(args []string) error {
	command := g.command(append([]string{"test"}, args...)...)
	command.Stdout = g.stdout
	return command.Run()
}

// packageFolders returns the folders, relative to the root, of the packages that match patterns.
func (g goTool) packageFolders(patterns []string) ([]string, error) {
	root, err := filepath.Abs(g.root)
	if err != nil {
		return nil, err
	}
	if root, err = filepath.EvalSymlinks(root); err != nil {
		return nil, err
	}
	listed, err := g.command(append([]string{"list", "-f", "{{.Dir}}"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	var folders []string
	for _, folder := range strings.Fields(string(listed)) {
		relative, err := filepath.Rel(root, folder)
		if err != nil {
			return nil, err
		}
		folders = append(folders, "./"+filepath.ToSlash(relative))
	}
	return folders, nil
}

// checkTestsExist returns an error if a listed test doesn't exist in its package.
func (g goTool) checkTestsExist(entries []Entry) error {
	for _, entry := range entries {
		listed, err := g.command("test", "-list=^"+entry.Test+"$", entry.Package).Output()
		if err != nil {
			return fmt.Errorf("%s: %w", entry.Package, err)
		}
		if first, _, _ := strings.Cut(string(listed), "\n"); first != entry.Test {
			return fmt.Errorf("%s has no test %s", entry.Package, entry.Test)
		}
	}
	return nil
}
