package tiercluster

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// Build compiles the otterseam-tier program into a directory and returns its path.
func Build(dir string) (string, error) {
	program := filepath.Join(dir, "otterseam-tier")
	out, err := exec.Command("go", "build", "-o", program, "otterseam/cmd/otterseam-tier").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return program, nil
}
