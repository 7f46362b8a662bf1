// Package deploy_test checks that what a clean build calls, the packages that the deploy files list and the README agree.
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
	headersPackage = "libc6-dev" // headers, start files and the linker's libc.so, only recommended by gcc
)

// onEveryDebian are the programs of essential packages and the shell's own words.
var onEveryDebian = []string{"mkdir", "cat", "cp", "rm", "mv", "chmod", "touch", "cd", "echo", "true", "bash", "sh"}

// deployFile is the part of a deploy file that matters here.
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

// buildPlan gives the commands of a build line as the shell and the Go tool would carry them out, with nothing built before.
func buildPlan(t *testing.T, build string) string {
	t.Helper()
	if !strings.Contains(build, "go build ") {
		t.Fatalf("no go build in the build line %q", build)
	}
	dry := strings.Replace(build, "go build ", "go build -a -n ", 1)
	// the folder for the programs is made by the real build alone
	dry = regexp.MustCompile(`mkdir -p \w+ && `).ReplaceAllString(dry, "")
	command := exec.Command("bash", "-c", dry)
	command.Dir = ".."
	plan, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", dry, err, plan)
	}
	return string(plan)
}

var (
	assignment = regexp.MustCompile(`^[A-Z_]+=('[^']*'|\S*)$`)
	hereBegins = regexp.MustCompile(`<< ?'?EOF'?`)
	linker     = regexp.MustCompile(`-extld=(\S+)`)
)

// programsOf gives the programs that a plan calls, each once, without those that come with Go.
func programsOf(plan, goRoot string) []string {
	var programs []string
	add := func(program string) {
		if program != "go" && !strings.HasPrefix(program, goRoot+"/") && !slices.Contains(programs, program) {
			programs = append(programs, program)
		}
	}
	inHere := false
	for lines := bufio.NewScanner(strings.NewReader(plan)); lines.Scan(); {
		line := lines.Text()
		if inHere {
			inHere = line != "EOF"
			continue
		}
		inHere = hereBegins.MatchString(line)
		for _, found := range linker.FindAllStringSubmatch(line, -1) {
			add(found[1])
		}
		if program := firstProgram(line); program != "" {
			add(program)
		}
	}
	return programs
}

// firstProgram gives the first word of a line that isn't an assignment; none for an empty line or a comment.
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

// packagesFor gives the Debian packages of programs, sorted. A program of which no package is known is an error.
func packagesFor(programs []string) ([]string, error) {
	var packages []string
	for _, program := range programs {
		switch {
		case slices.Contains(onEveryDebian, program):
		case program == compilerName:
			packages = append(packages, compilerName, headersPackage)
		default:
			return nil, fmt.Errorf("the build calls %s, of which no package is known", program)
		}
	}
	slices.Sort(packages)
	return slices.Compact(packages), nil
}

var (
	readmeNames = regexp.MustCompile(`\(Debian: ([^;)]*)`)
	quoted      = regexp.MustCompile("`([^`]+)`")
)

// packagesInReadme gives those that the README names for Debian, sorted.
func packagesInReadme(readme string) (packages []string) {
	sentence := readmeNames.FindStringSubmatch(readme)
	if sentence == nil {
		return nil
	}
	for _, name := range quoted.FindAllStringSubmatch(sentence[1], -1) {
		packages = append(packages, name[1])
	}
	slices.Sort(packages)
	return packages
}

// disagreement says in which respect a list of packages differs from what is needed; empty if it doesn't.
func disagreement(where string, listed, needed []string) string {
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

func TestPackagesOfACleanBuildAreListed(t *testing.T) {
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
			t.Errorf("the build of %s calls %q; it has to link against the C library by %s", path, programs, compilerName)
		}
		needed, err := packagesFor(programs)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if wrong := disagreement(path, file.Packages, needed); wrong != "" {
			t.Error(wrong)
		}
		if wrong := disagreement("README.md", packagesInReadme(string(readme)), needed); wrong != "" {
			t.Error(wrong)
		}
	}
}

// TestReadmeNamesWhatCICalls wants the one further program of CI to be accounted for.
func TestReadmeNamesWhatCICalls(t *testing.T) {
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

func TestProgramsOfAPlan(t *testing.T) {
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

func TestProgramWithoutAKnownPackageIsRefused(t *testing.T) {
	if _, err := packagesFor([]string{"mkdir", "gcc", "protoc"}); err == nil || !strings.Contains(err.Error(), "protoc") {
		t.Fatalf("error %v", err)
	}
}

func TestDisagreementsAreTold(t *testing.T) {
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
		{"headers forgotten", []string{"gcc"}, false},
		{"one too many", []string{"gcc", "libc6-dev", "clang"}, false},
		{"another compiler", []string{"clang", "libc6-dev"}, false},
		{"all in another order", []string{"libc6-dev", "gcc"}, true},
	}
	for _, test := range tests {
		if told := disagreement("a file", test.listed, needed); (told == "") != test.agrees {
			t.Errorf("%s: told %q", test.name, told)
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
