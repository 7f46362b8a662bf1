package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What can't be read, is misspelt or out of range is said in one line; without a file nothing is on.
func TestWishes(t *testing.T) {
	t.Setenv(Variable, "")
	if w, err := Read(); err != nil || w.Members() != 0 {
		t.Error(w, err)
	}
	for text, want := range map[string]string{
		`{"membership":{"on":true}}`: "", `{"membership":{"on":true,"mail":0.2}}`: "",
		`{"membership":{"mail":0.2}}`: "", `{"membership":{"onn":true}}`: "onn", `{"membership":{"on":1}}`: "bool",
		`{"membership":{"on":true,"mail":0.9}}`: "0.01 to 0.5", `{`: "EOF", `{"overload":{"on":"yes"}}`: "bool",
		`{"membership":{"on":true},"overload":{"on":true}}`: "",
	} {
		path := filepath.Join(t.TempDir(), "o.json")
		os.WriteFile(path, []byte(text), 0o644)
		t.Setenv(Variable, path)
		w, err := Read()
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path)) {
			t.Errorf("%s: %v", text, err)
		}
		if on := strings.Contains(text, `"on":true`); want == "" && (w.Members() > 0) != on {
			t.Errorf("%s: %g", text, w.Members())
		}
	}
	t.Setenv(Variable, "/no/such/file")
	if _, err := Read(); err == nil {
		t.Error("a file that is missing was passed over")
	}
}
