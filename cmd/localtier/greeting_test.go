package main

import (
	"strings"
	"testing"
)

func TestGreetingNamesEachKindOfAddress(t *testing.T) {
	text := greeting(addresses{
		Fronts:   []string{"127.0.1.8:8149", "127.0.1.9:8149"},
		Controls: []string{"127.0.1.2:8144"},
		Status:   []string{"127.0.1.2:7380", "127.0.1.3:7380"},
		Logs:     "target/try",
	})
	for _, want := range []string{
		"curl -iN http://127.0.1.8:8149/chat/1 ",
		"target/otterctl status --control 127.0.1.2:7380 127.0.1.3:7380\n",
		"curl http://127.0.1.2:8144/v1/config/read\n",
		"addresses for hosts and operator HTTP calls: 127.0.1.2:8144\n",
		"Logs: target/try\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
}
