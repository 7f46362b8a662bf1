package opconfig

import "testing"

func TestRouteTakesTheLongestPrefixOfTheHost(t *testing.T) {
	config, err := Parse([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable(config)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/one/x", "r-a"},
		{"a.example", "/one/two/x", "r-b"},
		{"A.example:8080", "/one/two/", "r-b"},
		{"a.example", "/one/twofold", "r-a"},
		{"a.example", "/one", ""},
		{"a.example", "/other/", ""},
		{"b.example", "/one/x", ""},
	} {
		got := ""
		if route := table.Route(test.host, test.path); route != nil {
			got = route.Name
		}
		if got != test.want {
			t.Errorf("%s%s has route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}
