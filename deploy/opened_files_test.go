package deploy_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// dpkgQuery tells which Debian package a file is of.
const dpkgQuery = "dpkg-query"

var (
	buildTargets = regexp.MustCompile(`\./cmd/[\w./-]+`)
	// openedPath is a file of the system in what the compiler tells of headers (-H) and the linker of its inputs (--trace).
	openedPath = regexp.MustCompile(`(?m)(?:^|[ (])(/(?:usr|lib|lib64)/[^ :()\n]+)`)
	dependency = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]*`)
)

// openedBy runs a build whose compiler and linker tell of each file that they open, and returns those of the system.
func openedBy(t *testing.T, build string) []string {
	t.Helper()
	targets := buildTargets.FindAllString(build, -1)
	if len(targets) == 0 {
		t.Fatalf("no programs in the build line %q", build)
	}
	arguments := []string{"build", "-o", t.TempDir(), "-ldflags=-linkmode=external -extldflags=-Wl,--trace"}
	command := exec.Command("go", append(arguments, targets...)...)
	command.Dir = ".."
	// a macro of its own: what the cache has of an earlier run would tell of no headers
	flags := fmt.Sprintf("CGO_CFLAGS=-g -O2 -H -DOPENED_FILES_%d", time.Now().UnixNano())
	command.Env = append(os.Environ(), "CGO_ENABLED=1", flags)
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	var paths []string
	for _, found := range openedPath.FindAllStringSubmatch(string(output), -1) {
		path := filepath.Clean(found[1])
		if info, err := os.Stat(path); err == nil && info.Mode().IsRegular() && !slices.Contains(paths, path) {
			paths = append(paths, path)
		}
	}
	return paths
}

// packagesOf is the Debian package of each file; folders of the root may be links into /usr. A file of no package is left out.
func packagesOf(paths []string) map[string]string {
	arguments := []string{"-S"}
	for _, path := range paths {
		arguments = append(arguments, path, strings.TrimPrefix(path, "/usr"), "/usr"+path)
	}
	answer, _ := exec.Command(dpkgQuery, arguments...).Output() // it fails for the spellings that it does not know
	owners := map[string]string{}
	for _, line := range strings.Split(string(answer), "\n") {
		if owner, path, found := strings.Cut(line, ": "); found {
			name, _, _ := strings.Cut(owner, ":")
			owners[path] = name
		}
	}
	found := map[string]string{}
	for _, path := range paths {
		for _, spelling := range []string{path, strings.TrimPrefix(path, "/usr"), "/usr" + path} {
			if owner := owners[spelling]; owner != "" {
				found[path] = owner
			}
		}
	}
	return found
}

// closure is packages with all that they depend on, as far as it is installed.
func closure(packages []string) []string {
	all := slices.Clone(packages)
	for i := 0; i < len(all); i++ {
		depends, err := exec.Command(dpkgQuery, "-W", "-f", "${Pre-Depends}, ${Depends}", all[i]).Output()
		if err != nil {
			continue // a virtual package
		}
		for _, each := range strings.FieldsFunc(string(depends), func(r rune) bool { return r == ',' || r == '|' }) {
			name := dependency.FindString(strings.TrimSpace(each))
			if name != "" && !slices.Contains(all, name) {
				all = append(all, name)
			}
		}
	}
	return all
}

// TestOpenedFilesAreOfListedPackages holds every header and library that the build opens to the packages of its deploy file.
func TestOpenedFilesAreOfListedPackages(t *testing.T) {
	if _, err := exec.LookPath(dpkgQuery); err != nil {
		t.Skip("packages are Debian's, and this is another system")
	}
	for _, path := range []string{"system.toml", "balancer.toml"} {
		t.Run(path, func(t *testing.T) {
			file := readDeployFile(t, path)
			opened := openedBy(t, file.Build)
			if !slices.ContainsFunc(opened, func(path string) bool { return strings.HasSuffix(path, "/stdlib.h") }) ||
				!slices.ContainsFunc(opened, func(path string) bool {
					return strings.HasSuffix(path, "/crt1.o") || strings.HasSuffix(path, "/Scrt1.o")
				}) {
				t.Fatalf("neither headers nor start files are among the %d files told: %q", len(opened), opened)
			}
			provided := closure(file.Packages)
			owners := packagesOf(opened)
			for _, path := range opened {
				if owner := owners[path]; !slices.Contains(provided, owner) {
					t.Errorf("%s is opened, of package %q, which %q do not bring", path, owner, file.Packages)
				}
			}
		})
	}
}

func TestAMissingPackageIsTold(t *testing.T) {
	if _, err := exec.LookPath(dpkgQuery); err != nil {
		t.Skip("packages are Debian's, and this is another system")
	}
	owner := packagesOf([]string{"/usr/include/stdlib.h"})["/usr/include/stdlib.h"]
	if owner != headersPackage {
		t.Fatalf("stdlib.h is of %q", owner)
	}
	if slices.Contains(closure([]string{"binutils"}), owner) {
		t.Fatal("a list without the headers would pass")
	}
}
