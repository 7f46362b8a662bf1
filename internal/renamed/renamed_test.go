package renamed

import (
	"strings"
	"testing"
)

func TestNoticeNamesBothProgramsAndFails(t *testing.T) {
	var out strings.Builder
	code := printNotice(&out, "ottertier", "otterseam-tier")
	if code != 2 {
		t.Errorf("exit code %d, want 2", code)
	}
	want := "ottertier is called otterseam-tier now and takes the same arguments; nothing was run\n"
	if out.String() != want {
		t.Errorf("notice %q, want %q", out.String(), want)
	}
}
