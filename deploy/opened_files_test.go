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

// dpkgQuery is the program that finds the Debian package of a file and the dependencies of a package.
const dpkgQuery = "dpkg-query"

var (
	buildTargets = regexp.MustCompile(`\./cmd/[\w./-]+`)
	// openedPath matches a system file in the compiler's list of headers (-H) and the linker's list of inputs (--trace).
	openedPath = regexp.MustCompile(`(?m)(?:^|[ (])(/(?:usr|lib|lib64)/[^ :()\n]+)`)
	dependency = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]*`)
)

// openedFiles runs a build whose compiler and linker list each file they open, and returns the system files among them.
func openedFiles(t *testing.T, build string) []string {
	t.Helper()
	targets := buildTargets.FindAllString(build, -1)
	if len(targets) == 0 {
		t.Fatalf("no programs in the build line %q", build)
	}
	arguments := []string{"build", "-o", t.TempDir(), "-ldflags=-linkmode=external -extldflags=-Wl,--trace"}
	command := exec.Command("go", append(arguments, targets...)...)
	command.Dir = ".."
	// a unique macro keeps go build from using cached results, for which the compiler lists no headers
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

// packageOwners returns the Debian package of each file, without the files that belong to no package. It looks up each path with
// and without /usr, since folders such as /lib may be links into /usr.
func packageOwners(paths []string) map[string]string {
	arguments := []string{"-S"}
	for _, path := range paths {
		arguments = append(arguments, path, strings.TrimPrefix(path, "/usr"), "/usr"+path)
	}
	output, _ := exec.Command(dpkgQuery, arguments...).Output() // it exits with an error if one of the paths is unknown
	owners := map[string]string{}
	for _, line := range strings.Split(string(output), "\n") {
		if owner, path, found := strings.Cut(line, ": "); found {
			name, _, _ := strings.Cut(owner, ":")
			owners[path] = name
		}
	}
	found := map[string]string{}
	for _, path := range paths {
		for _, variant := range []string{path, strings.TrimPrefix(path, "/usr"), "/usr" + path} {
			if owner := owners[variant]; owner != "" {
				found[path] = owner
			}
		}
	}
	return found
}

// withDependencies returns packages and their direct and indirect dependencies, without following packages that aren't installed.
func withDependencies(packages []string) []string {
	all := slices.Clone(packages)
	for i := 0; i < len(all); i++ {
		depends, err := exec.Command(dpkgQuery, "-W", "-f", "${Pre-Depends}, ${Depends}", all[i]).Output()
		if err != nil {
			continue // a virtual package
		}
		for _, alternative := range strings.FieldsFunc(string(depends), func(r rune) bool { return r == ',' || r == '|' }) {
			name := dependency.FindString(strings.TrimSpace(alternative))
			if name != "" && !slices.Contains(all, name) {
				all = append(all, name)
			}
		}
	}
	return all
}

// TestOpenedFilesBelongToListedPackages checks that each header and library that the build opens belongs to a package listed in
// its deploy file or to a dependency of one.
func TestOpenedFilesBelongToListedPackages(t *testing.T) {
	if _, err := exec.LookPath(dpkgQuery); err != nil {
		t.Skip("dpkg-query is missing; the check needs a Debian system")
	}
	for _, path := range []string{"system.toml", "balancer.toml"} {
		t.Run(path, func(t *testing.T) {
			file := readDeployFile(t, path)
			opened := openedFiles(t, file.Build)
			if !slices.ContainsFunc(opened, func(path string) bool { return strings.HasSuffix(path, "/stdlib.h") }) ||
				!slices.ContainsFunc(opened, func(path string) bool {
					return strings.HasSuffix(path, "/crt1.o") || strings.HasSuffix(path, "/Scrt1.o")
				}) {
				t.Fatalf("headers or start files are missing from the %d opened files: %q", len(opened), opened)
			}
			provided := withDependencies(file.Packages)
			owners := packageOwners(opened)
			for _, path := range opened {
				if owner := owners[path]; !slices.Contains(provided, owner) {
					t.Errorf("the build opens %s of package %q, which is neither listed nor a dependency of %q", path, owner, file.Packages)
				}
			}
		})
	}
}

func TestMissingPackageIsDetected(t *testing.T) {
	if _, err := exec.LookPath(dpkgQuery); err != nil {
		t.Skip("dpkg-query is missing; the check needs a Debian system")
	}
	owner := packageOwners([]string{"/usr/include/stdlib.h"})["/usr/include/stdlib.h"]
	if owner != headersPackage {
		t.Fatalf("stdlib.h belongs to package %q", owner)
	}
	if slices.Contains(withDependencies([]string{"binutils"}), owner) {
		t.Fatal("a list without the headers' package would pass")
	}
}
