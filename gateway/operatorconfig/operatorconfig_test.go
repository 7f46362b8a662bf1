package operatorconfig

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func write(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	t.Setenv(Variable, path)
	return path
}

// What can't be read, is misspelt or out of range is said in one line; without a file nothing is enabled.
func TestRead(t *testing.T) {
	for _, c := range []struct {
		text       string
		membership bool
		wantError  string
	}{
		{text: `{"membership":{"on":true}}`, membership: true},
		{text: `{"membership":{"on":true,"mail":0.2}}`, membership: true},
		{text: `{"membership":{"mail":0.2}}`},
		{text: `{"membership":{"on":true},"overload":{"on":true}}`, membership: true},
		{text: `{"copies":{"keepers":["10.0.0.1:7000"],"counts":true}}`},
		{text: `{"membership":{"onn":true}}`, wantError: "onn"},
		{text: `{"membership":{"on":1}}`, wantError: "bool"},
		{text: `{"membership":{"on":true,"mail":0.9}}`, wantError: "0.01 to 0.5"},
		{text: `{`, wantError: "EOF"},
		{text: `{"overload":{"on":"yes"}}`, wantError: "bool"},
		{text: `{"copies":{"keepers":["10.0.0.1"],"counts":true}}`, wantError: "copies.keepers"},
		{text: `{"copies":{"keepers":["10.0.0.1:7000"]}}`, wantError: "something for them to hold"},
		{text: `{"copies":{"use":true}}`, wantError: "wants keepers"},
	} {
		t.Run(c.text, func(t *testing.T) {
			path := write(t, c.text)
			config, err := Read()
			if c.wantError == "" {
				if err != nil || (config.MembershipShare() > 0) != c.membership {
					t.Fatalf("membership %g, error %v", config.MembershipShare(), err)
				}
				return
			}
			var invalid *InvalidError
			if !errors.As(err, &invalid) || invalid.Path != path {
				t.Fatalf("want an InvalidError of %s, got %v", path, err)
			}
			if !strings.Contains(err.Error(), c.wantError) || !strings.Contains(err.Error(), path) {
				t.Errorf("want an error that names %q and the file, got %v", c.wantError, err)
			}
		})
	}
}

func TestReadWithoutFileEnablesNothing(t *testing.T) {
	t.Setenv(Variable, "")
	if config, err := Read(); err != nil || config.MembershipShare() != 0 {
		t.Error(config, err)
	}
}

func TestReadOfMissingFileFails(t *testing.T) {
	t.Setenv(Variable, "/no/such/file")
	if _, err := Read(); !errors.Is(err, fs.ErrNotExist) {
		t.Error("a file that is missing was passed over:", err)
	}
}
