// Package deploy_test checks that the packages listed in the deploy files and the README are those that a clean build needs.
package deploy_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const (
	readmePath     = "../README.md"
	ciPath         = "../.ci/run"
	binutilsTool   = "readelf"
	binutilsName   = "binutils" // a dependency of gcc
	compilerName   = "gcc"
	headersPackage = "libc6-dev" // has the headers, the start files and the linker's libc.so; gcc only recommends it
)

// essentialPrograms are shell builtins and programs of Debian's essential packages, which are always installed.
var essentialPrograms = []string{"mkdir", "cat", "cp", "rm", "mv", "chmod", "touch", "cd", "echo", "true", "bash", "sh"}

// deployFile holds the fields of a deploy file that the tests check.
type deployFile struct {
	Build    string   `toml:"build"`
	Packages []string `toml:"packages"`
}

func readDeployFile(t *testing.T, path string) deployFile {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var file deployFile
	if err := toml.Unmarshal(content, &file); err != nil {
		t.Fatal(err)
	}
	return file
}

// buildPlan returns the commands that a build line runs if nothing was built before, as go build -a -n prints them.
func buildPlan(t *testing.T, build string) string {
	t.Helper()
	if !strings.Contains(build, "go build ") {
		t.Fatalf("no go build in the build line %q", build)
	}
	dryRun := strings.Replace(build, "go build ", "go build -a -n ", 1)
	// the dry run must not create the folder for the programs
	dryRun = regexp.MustCompile(`mkdir -p \w+ && `).ReplaceAllString(dryRun, "")
	command := exec.Command("bash", "-c", dryRun)
	command.Dir = ".."
	plan, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", dryRun, err, plan)
	}
	return string(plan)
}

var (
	assignment   = regexp.MustCompile(`^[A-Z_]+=('[^']*'|\S*)$`)
	hereDocStart = regexp.MustCompile(`<< ?'?EOF'?`)
	linker       = regexp.MustCompile(`-extld=(\S+)`)
)

// programsOf returns the programs that a plan calls, without duplicates and without those that come with Go.
func programsOf(plan, goRoot string) []string {
	var programs []string
	add := func(program string) {
		if program != "go" && !strings.HasPrefix(program, goRoot+"/") && !slices.Contains(programs, program) {
			programs = append(programs, program)
		}
	}
	inHereDoc := false
	for lines := bufio.NewScanner(strings.NewReader(plan)); lines.Scan(); {
		line := lines.Text()
		if inHereDoc {
			inHereDoc = line != "EOF"
			continue
		}
		inHereDoc = hereDocStart.MatchString(line)
		for _, found := range linker.FindAllStringSubmatch(line, -1) {
			add(found[1])
		}
		if program := firstProgram(line); program != "" {
			add(program)
		}
	}
	return programs
}

// firstProgram returns the first word of a line that isn't an assignment. It returns an empty string for an empty line or a
// comment.
func firstProgram(line string) string {
	for _, word := range strings.Fields(line) {
		if strings.HasPrefix(word, "#") {
			return ""
		}
		if !assignment.MatchString(word) {
			return strings.Trim(word, `"`)
		}
	}
	return ""
}

// packagesFor returns the sorted Debian packages that contain programs. A program without a known package is an error.
func packagesFor(programs []string) ([]string, error) {
	var packages []string
	for _, program := range programs {
		switch {
		case slices.Contains(essentialPrograms, program):
		case program == compilerName:
			packages = append(packages, compilerName, headersPackage)
		default:
			return nil, fmt.Errorf("the build calls %s, whose Debian package is unknown", program)
		}
	}
	slices.Sort(packages)
	return slices.Compact(packages), nil
}

var (
	readmePackages = regexp.MustCompile(`\(Debian: ([^;)]*)`)
	quotedName     = regexp.MustCompile("`([^`]+)`")
)

// packagesInReadme returns the sorted Debian packages that the README names.
func packagesInReadme(readme string) (packages []string) {
	sentence := readmePackages.FindStringSubmatch(readme)
	if sentence == nil {
		return nil
	}
	for _, name := range quotedName.FindAllStringSubmatch(sentence[1], -1) {
		packages = append(packages, name[1])
	}
	slices.Sort(packages)
	return packages
}

// packageMismatch describes how a list of packages differs from the needed ones. It returns an empty string if they are equal.
func packageMismatch(where string, listed, needed []string) string {
	listed = slices.Sorted(slices.Values(listed))
	if slices.Equal(listed, needed) {
		return ""
	}
	return fmt.Sprintf("%s lists %q, but a clean build needs %q", where, listed, needed)
}

func goRoot(t *testing.T) string {
	t.Helper()
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(root))
}

func TestPackagesNeededByCleanBuildAreListed(t *testing.T) {
	readme, err := os.ReadFile(readmePath)
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("deploy files: %q, %v", files, err)
	}
	for _, path := range files {
		file := readDeployFile(t, path)
		programs := programsOf(buildPlan(t, file.Build), goRoot(t))
		if !slices.Contains(programs, compilerName) {
			t.Errorf("the build of %s calls %q, but must call %s to link against the C library", path, programs, compilerName)
		}
		needed, err := packagesFor(programs)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if mismatch := packageMismatch(path, file.Packages, needed); mismatch != "" {
			t.Error(mismatch)
		}
		if mismatch := packageMismatch("README.md", packagesInReadme(string(readme)), needed); mismatch != "" {
			t.Error(mismatch)
		}
	}
}

// TestReadmeNamesPackageOfCITool checks that the README names binutils if and only if CI calls readelf, the only program that CI
// needs in addition to those of the build.
func TestReadmeNamesPackageOfCITool(t *testing.T) {
	readme, err := os.ReadFile(readmePath)
	if err != nil {
		t.Fatal(err)
	}
	ci, err := os.ReadFile(ciPath)
	if err != nil {
		t.Fatal(err)
	}
	calls := strings.Contains(string(ci), binutilsTool)
	named := strings.Contains(string(readme), "`"+binutilsName+"`")
	if calls != named {
		t.Errorf(".ci/run calls %s: %v; README.md names %s: %v", binutilsTool, calls, binutilsName, named)
	}
}

func TestProgramsOfPlan(t *testing.T) {
	const plan = `# otterseam/cmd/x
mkdir -p $WORK/b001/
cat >$WORK/b001/importcfg << 'EOF' # internal
wget nothing
EOF
cd /src
TERM='dumb' gcc -c _cgo_export.c
/opt/go/pkg/tool/linux_amd64/compile -o x
GOROOT='/opt/go' /opt/go/pkg/tool/linux_amd64/link -extld=clang x
go tool buildid -w x
`
	want := []string{"mkdir", "cat", "cd", "gcc", "clang"}
	if got := programsOf(plan, "/opt/go"); !slices.Equal(got, want) {
		t.Errorf("programs %q, want %q", got, want)
	}
}

func TestProgramWithUnknownPackageIsAnError(t *testing.T) {
	if _, err := packagesFor([]string{"mkdir", "gcc", "protoc"}); err == nil || !strings.Contains(err.Error(), "protoc") {
		t.Fatalf("error %v", err)
	}
}

func TestPackageMismatch(t *testing.T) {
	needed, err := packagesFor([]string{"mkdir", "gcc", "gcc"})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		listed []string
		agrees bool
	}{
		{"nothing listed", nil, false},
		{"headers missing", []string{"gcc"}, false},
		{"additional package", []string{"gcc", "libc6-dev", "clang"}, false},
		{"another compiler", []string{"clang", "libc6-dev"}, false},
		{"different order", []string{"libc6-dev", "gcc"}, true},
	}
	for _, test := range tests {
		if mismatch := packageMismatch("a file", test.listed, needed); (mismatch == "") != test.agrees {
			t.Errorf("%s: mismatch %q", test.name, mismatch)
		}
	}
}

func TestPackagesInReadme(t *testing.T) {
	tests := map[string][]string{
		"a compiler (Debian: `gcc` and `libc6-dev`).":                    {"gcc", "libc6-dev"},
		"a compiler (Debian: `libc6-dev` and `gcc`; it brings `other`).": {"gcc", "libc6-dev"},
		"a compiler (Debian: `gcc`).":                                    {"gcc"},
		"a compiler.":                                                    nil,
	}
	for text, want := range tests {
		if got := packagesInReadme(text); !slices.Equal(got, want) {
			t.Errorf("%s: %q, want %q", text, got, want)
		}
	}
}
