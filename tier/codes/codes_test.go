package codes

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

const documentationPath = "../../docs/codes.md"

// documentation returns the operators' page docs/codes.md, generated from Table.
func documentation() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nThe numbers that processes of the serving tier give each other, write into their logs as `code`, and put into\n" +
		"the JSON bodies of their own answers. The page is made from `tier/codes`; a number is never used again for another meaning.\n\n" +
		"| code | name | meaning |\n| --- | --- | --- |\n")
	for _, row := range Table {
		fmt.Fprintf(&b, "| %d | `%s` | %s |\n", row.Code, row.Name, row.Meaning)
	}
	return b.String()
}

func TestDocumentationListsAllCodes(t *testing.T) {
	if os.Getenv("UPDATE_CODES") != "" {
		if err := os.WriteFile(documentationPath, []byte(documentation()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(documentationPath)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != documentation() {
		t.Fatalf("docs/codes.md differs from the table; run UPDATE_CODES=1 go test ./tier/codes to update it")
	}
}

func TestNamesAreUniqueAndCodesAscend(t *testing.T) {
	names := map[string]bool{}
	for i, row := range Table {
		if i > 0 && row.Code <= Table[i-1].Code {
			t.Errorf("%v follows %v", row.Code, Table[i-1].Code)
		}
		if names[row.Name] || row.Meaning == "" {
			t.Errorf("name %q is not unique, or its meaning is empty", row.Name)
		}
		names[row.Name] = true
	}
}

func TestErrorsIsMatchesWrappedCodes(t *testing.T) {
	err := fmt.Errorf("while calling: %w", BudgetSpent)
	if !errors.Is(err, BudgetSpent) || errors.Is(err, TurnUnknown) {
		t.Fatal("errors.Is doesn't distinguish the codes in wrapped errors")
	}
	for code, want := range map[Code]string{
		BudgetSpent: "code 301 budget-spent",
		OK:          "code 0 ok",
		Code(9999):  "code 9999",
	} {
		if got := code.Error(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
