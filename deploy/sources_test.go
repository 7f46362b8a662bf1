package deploy_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// sources holds the lists in deploy/balancer.toml of the files that make load balancing decisions (policy) and those that carry
// them out (node).
type sources struct {
	Policy []string `toml:"policy"`
	Node   []string `toml:"node"`
}

func readSources(t *testing.T) sources {
	t.Helper()
	content, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var listed sources
	if err := toml.Unmarshal(content, &listed); err != nil {
		t.Fatal(err)
	}
	return listed
}

func TestDeployFileListsSourcesThatExist(t *testing.T) {
	listed := readSources(t)
	for _, path := range slices.Concat(listed.Policy, listed.Node) {
		if _, err := os.Stat(filepath.Join("..", path)); err != nil {
			t.Error(err)
		}
	}
}

func TestEachPolicyFileIsListedOnce(t *testing.T) {
	listed := readSources(t)
	files, err := filepath.Glob("../gateway/policy/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		path := strings.TrimPrefix(filepath.ToSlash(file), "../")
		if slices.Contains(listed.Policy, path) == slices.Contains(listed.Node, path) {
			t.Errorf("%s must be listed under either policy or node, and not both", path)
		}
	}
}
