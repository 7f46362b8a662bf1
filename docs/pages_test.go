// Package docs tests that the identifiers, paths, links and make targets in the Markdown pages of the repository exist.
package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const repositoryRoot = ".."

// historicalPagePrefixes lists the path prefixes of pages that are not checked,
// because they describe the code as it was when they were written.
var historicalPagePrefixes = []string{"docs/incidents/", "docs/experiments/", "docs/readability/", "CHANGELOG.md"}

var (
	codeSpan            = regexp.MustCompile("`([^`]+)`")
	qualifiedIdentifier = regexp.MustCompile(`^(?:otterseam/)?((?:[a-z][\w-]*/)*)([a-z][a-z0-9]*)\.([A-Za-z_]\w*(?:\.[A-Za-z_]\w*)?)(?:\(\))?$`)
	testFunctionName    = regexp.MustCompile(`^(?:Test|Fuzz|Benchmark)[A-Z]\w+$`)
	dayFileKey          = regexp.MustCompile(`^(?:fleet|network|gateway|host|counter|client)\.[a-z_]+$`) // keys of a simulated day's file, which docs/laboratory.md lists
	repositoryPath      = regexp.MustCompile(`^(?:cmd|deploy|docs|gateway|harness|internal|quotastore|scripts|sim|tier|tools)(?:/[\w.-]+)+/?$`)
	markdownLink        = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)
)

// declarationIndex holds the packages and the top-level identifiers, methods and fields that the code declares.
type declarationIndex struct {
	packages    map[string]bool // folders, relative to the repository root
	identifiers map[string]bool // "package.Name", "package.Type.Method", "package.Type.field"
}

// indexDeclarations parses the Go files of the repository, including tests and excluding journal, testdata and hidden folders.
// It indexes a main package under the name of its folder as well.
func indexDeclarations(t *testing.T) declarationIndex {
	t.Helper()
	index := declarationIndex{packages: map[string]bool{}, identifiers: map[string]bool{}}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name := entry.Name(); name == "journal" || name == "testdata" || strings.HasPrefix(name, ".") && path != repositoryRoot {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(repositoryRoot, filepath.Dir(path))
		if err != nil {
			return err
		}
		index.packages[filepath.ToSlash(folder)] = true
		index.addFile(strings.TrimSuffix(file.Name.Name, "_test"), file)
		if file.Name.Name == "main" {
			index.addFile(filepath.Base(folder), file)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// addFile adds the declarations of a file to the index, qualified by packageName.
func (idx declarationIndex) addFile(packageName string, file *ast.File) {
	prefix := packageName + "."
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			identifier := d.Name.Name
			if d.Recv != nil {
				identifier = receiverName(d.Recv.List[0].Type) + "." + identifier
			}
			idx.identifiers[prefix+identifier] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				idx.addSpec(prefix, spec)
			}
		}
	}
}

func (idx declarationIndex) addSpec(prefix string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			idx.identifiers[prefix+name.Name] = true
		}
	case *ast.TypeSpec:
		idx.identifiers[prefix+s.Name.Name] = true
		var members *ast.FieldList
		switch body := s.Type.(type) {
		case *ast.StructType:
			members = body.Fields
		case *ast.InterfaceType:
			members = body.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				idx.identifiers[prefix+s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

func receiverName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return receiverName(e.X)
	case *ast.IndexExpr:
		return receiverName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// checkSpan returns a message if a code span names a package, identifier, test or path that does not exist.
// It returns "" if what the span names exists or if the span names none of these.
func (idx declarationIndex) checkSpan(span string) string {
	parts := qualifiedIdentifier.FindStringSubmatch(span)
	isFile := regexp.MustCompile(`\.(?:go|md|json|toml|txt|sh|yml|html|gz|mod|sum)$`).MatchString(span)
	if parts != nil && !isFile && idx.hasPackageNamed(parts[2]) {
		folder, qualifier, identifier := parts[1]+parts[2], parts[2], parts[3]
		if parts[1] != "" && !idx.packages[folder] {
			return fmt.Sprintf("there is no package %s", folder)
		}
		if !idx.declares(qualifier, identifier) {
			return fmt.Sprintf("package %s declares no %s", qualifier, identifier)
		}
		return ""
	}
	if testFunctionName.MatchString(span) && !idx.declaresAnywhere(span) {
		return fmt.Sprintf("there is no test %s", span)
	}
	if repositoryPath.MatchString(span) {
		if _, err := os.Stat(filepath.Join(repositoryRoot, span)); err != nil {
			return fmt.Sprintf("there is no file or folder %s", span)
		}
	}
	return ""
}

func (idx declarationIndex) declaresAnywhere(identifier string) bool {
	for declared := range idx.identifiers {
		if strings.HasSuffix(declared, "."+identifier) {
			return true
		}
	}
	return false
}

// declares reports whether a package named qualifier declares the identifier, at the top level or as a method or field of a type,
// or whether a type named qualifier in any package has it as a method or field.
func (idx declarationIndex) declares(qualifier, identifier string) bool {
	if idx.identifiers[qualifier+"."+identifier] {
		return true
	}
	for declared := range idx.identifiers {
		isMember := strings.HasPrefix(declared, qualifier+".") && strings.HasSuffix(declared, "."+identifier)
		if isMember || strings.HasSuffix(declared, "."+qualifier+"."+identifier) {
			return true
		}
	}
	return false
}

func (idx declarationIndex) hasPackageNamed(name string) bool {
	for folder := range idx.packages {
		if filepath.Base(folder) == name {
			return true
		}
	}
	return false
}

// checkedPages returns the paths, relative to the repository root, of the Markdown pages that must match the current code.
func checkedPages(t *testing.T) []string {
	t.Helper()
	var found []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		files, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			page := strings.TrimPrefix(filepath.ToSlash(file), repositoryRoot+"/")
			if !isHistorical(page) {
				found = append(found, page)
			}
		}
	}
	return found
}

func isHistorical(page string) bool {
	for _, prefix := range historicalPagePrefixes {
		if strings.HasPrefix(page, prefix) {
			return true
		}
	}
	return false
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestPagesNameWhatTheCodeDeclares(t *testing.T) {
	declared := indexDeclarations(t)
	for _, page := range checkedPages(t) {
		for lineIndex, line := range strings.Split(readPage(t, page), "\n") {
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				if page == "docs/laboratory.md" && dayFileKey.MatchString(span[1]) {
					continue
				}
				if problem := declared.checkSpan(span[1]); problem != "" {
					t.Errorf("%s:%d: %s", page, lineIndex+1, problem)
				}
			}
		}
	}
}

func TestLinksOfPagesLeadToFiles(t *testing.T) {
	for _, page := range checkedPages(t) {
		for lineIndex, line := range strings.Split(readPage(t, page), "\n") {
			for _, link := range markdownLink.FindAllStringSubmatch(line, -1) {
				if strings.Contains(link[1], "://") {
					continue
				}
				target := filepath.Join(repositoryRoot, filepath.Dir(page), link[1])
				if _, err := os.Stat(target); err != nil {
					t.Errorf("%s:%d: the link target %s does not exist", page, lineIndex+1, link[1])
				}
			}
		}
	}
}

// Each row of the glossary must name code that exists, or have "-" in the code column.
func TestGlossaryTermsExistInTheCode(t *testing.T) {
	const codeColumn = 3 // the columns are | word | term | in the code | meaning | on the wire |
	declared := indexDeclarations(t)
	rows := 0
	for lineIndex, line := range strings.Split(readPage(t, "docs/glossary.md"), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 7 || strings.HasPrefix(strings.TrimSpace(cells[1]), "---") || strings.TrimSpace(cells[1]) == "word" {
			continue
		}
		rows++
		spans := codeSpan.FindAllStringSubmatch(cells[codeColumn], -1)
		if len(spans) == 0 && strings.TrimSpace(cells[codeColumn]) != "-" { // "-" marks a word that only the pages use
			t.Errorf("docs/glossary.md:%d: the row names no code", lineIndex+1)
		}
		for _, span := range spans {
			isPath := repositoryPath.MatchString(span[1])
			if problem := declared.checkSpan(span[1]); problem != "" || !isPath && !declared.identifiers[span[1]] {
				t.Errorf("docs/glossary.md:%d: %s is not in the code", lineIndex+1, span[1])
			}
		}
	}
	if rows == 0 {
		t.Error("docs/glossary.md has no table of five columns")
	}
}

var (
	fuzzCommand = regexp.MustCompile(`-fuzz (\w+) .*\./(\S+)`)
	makeTarget  = regexp.MustCompile("`make ([a-z-]+)`|^    make ([a-z-]+)")
)

func TestMakefileNamesFuzzTargetsThatExist(t *testing.T) {
	declared := indexDeclarations(t)
	found := fuzzCommand.FindAllStringSubmatch(readPage(t, "Makefile"), -1)
	if len(found) == 0 {
		t.Fatal("the Makefile runs no fuzz target")
	}
	for _, command := range found {
		if !declared.packages[command[2]] || !declared.identifiers[filepath.Base(command[2])+"."+command[1]] {
			t.Errorf("there is no fuzz target %s in %s", command[1], command[2])
		}
	}
}

func TestPagesNameMakeTargetsThatExist(t *testing.T) {
	makefile := "\n" + readPage(t, "Makefile")
	for _, page := range checkedPages(t) {
		for lineIndex, line := range strings.Split(readPage(t, page), "\n") {
			for _, target := range makeTarget.FindAllStringSubmatch(line, -1) {
				if name := target[1] + target[2]; !strings.Contains(makefile, "\n"+name+":") {
					t.Errorf("%s:%d: the Makefile has no target %s", page, lineIndex+1, name)
				}
			}
		}
	}
}
