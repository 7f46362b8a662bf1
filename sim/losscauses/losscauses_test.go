package losscauses

import (
	"strings"
	"testing"
)

const report = `{"all":{"n":40,"late":7,"refused":1,"failed":11},
"events":[{"at_s":4,"to_s":6,"kind":"srv_grey (hang)"},{"at_s":5,"to_s":7,"kind":"config_change (idle)"},{"at_s":30.5,"to_s":45,"kind":"closing (kill_all)"}],
"windows":[{"name":"0","late":1},{"name":"4","failed":2,"refused":1},{"name":"14","late":1},{"name":"24","failed":3},{"name":"30","late":4,"failed":5},{"name":"32","late":1,"failed":1}]}`

func TestSharesAddUp(t *testing.T) {
	r, err := Parse("day", []byte(report))
	if err != nil {
		t.Fatal(err)
	}
	shares, err := r.Shares()
	if err != nil {
		t.Fatal(err)
	}
	want := []Share{{Outage, 5, 6}, {InFlight, 0, 3}, {"srv_grey (hang)", 1, 3}, {Unexplained, 1, 0}}
	if len(shares) != len(want) {
		t.Fatalf("%+v", shares)
	}
	for i, share := range shares {
		if share.Lost != want[i].Lost || share.Late != want[i].Late {
			t.Errorf("got %+v, want %+v", share, want[i])
		}
	}
}

// A window is overloaded if its programs take longer than those of calm windows and no disruption is near. Without medians no window
// counts as overloaded.
func TestOverloadIsDetected(t *testing.T) {
	const loaded = `{"all":{"late":9,"failed":2},"events":[{"at_s":20,"to_s":22,"kind":"srv_grey (hang)"}],"windows":[
		{"name":"0","p50_ms":1000},{"name":"2","p50_ms":1010,"late":1},{"name":"4","p50_ms":990},{"name":"6","p50_ms":1020},
		{"name":"8","p50_ms":1300,"late":4,"failed":1},{"name":"20","p50_ms":1900,"late":4,"failed":1}]}`
	for name, test := range map[string]struct {
		report string
		want   map[string]int // late programs
	}{
		"with times":    {loaded, map[string]int{Overload: 4, "srv_grey (hang)": 4, Unexplained: 1}},
		"without times": {strings.ReplaceAll(loaded, "p50_ms", "other"), map[string]int{"srv_grey (hang)": 4, Unexplained: 5}},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := Parse("day", []byte(test.report))
			if err != nil {
				t.Fatal(err)
			}
			shares, err := r.Shares()
			if err != nil || len(shares) != len(test.want) {
				t.Fatalf("%+v, %v", shares, err)
			}
			for _, share := range shares {
				if share.Late != test.want[share.Cause] {
					t.Errorf("%s: got %d late, want %d", share.Cause, share.Late, test.want[share.Cause])
				}
			}
		})
	}
}

func TestMismatchedTotalsAreAnError(t *testing.T) {
	r, err := Parse("day", []byte(strings.Replace(report, `"failed":11`, `"failed":12`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.Shares(); err == nil || !strings.Contains(err.Error(), "11") && !strings.Contains(err.Error(), "12") {
		t.Fatal(err)
	}
}

func TestInvalidReportIsAnError(t *testing.T) {
	for _, content := range []string{"", "{}", `{"windows":[{"name":"x","failed":1}],"all":{"failed":1}}`} {
		r, err := Parse("day", []byte(content))
		if err == nil {
			_, err = r.Shares()
		}
		if err == nil {
			t.Errorf("%q was accepted as a report", content)
		}
	}
}
