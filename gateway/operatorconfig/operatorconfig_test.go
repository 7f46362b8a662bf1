package operatorconfig

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeConfig(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	t.Setenv(EnvVariable, path)
	return path
}

// An unparsable file, a misspelt key or a value out of range yields an InvalidError that names the file.
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
		{text: `{"copies":{"keepers":["10.0.0.1:7000"]}}`, wantError: "at least one of counts, marks and use"},
		{text: `{"copies":{"use":true}}`, wantError: "requires both keepers"},
	} {
		t.Run(c.text, func(t *testing.T) {
			path := writeConfig(t, c.text)
			config, err := Read()
			if c.wantError == "" {
				if err != nil || (config.MembershipShare() > 0) != c.membership {
					t.Fatalf("membership %g, error %v", config.MembershipShare(), err)
				}
				return
			}
			var invalid *InvalidError
			if !errors.As(err, &invalid) || invalid.Path != path {
				t.Fatalf("want an InvalidError for %s, got %v", path, err)
			}
			if !strings.Contains(err.Error(), c.wantError) || !strings.Contains(err.Error(), path) {
				t.Errorf("want an error containing %q and the path of the file, got %v", c.wantError, err)
			}
		})
	}
}

func TestReadWithoutFile(t *testing.T) {
	t.Setenv(EnvVariable, "")
	if config, err := Read(); err != nil || config.MembershipShare() != 0 {
		t.Error(config, err)
	}
}

func TestReadMissingFile(t *testing.T) {
	t.Setenv(EnvVariable, "/no/such/file")
	if _, err := Read(); !errors.Is(err, fs.ErrNotExist) {
		t.Error("want fs.ErrNotExist for a missing file, got", err)
	}
}
