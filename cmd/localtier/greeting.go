package main

import (
	"fmt"
	"strings"
)

// addresses holds the addresses of a running tier and the path of its logs.
type addresses struct {
	Fronts   []string // for clients
	Controls []string // for hosts and the operator's HTTP API
	Status   []string // for otterctl status: the internal addresses of control
	Logs     string   // folder with the logs
}

// greeting returns the text that is printed once the tier is up: its addresses and example commands. Each command can be run without
// changes.
func greeting(at addresses) string {
	front := at.Fronts[0]
	return fmt.Sprintf("The tier is up. Logs: %s\n", at.Logs) +
		fmt.Sprintf("  addresses for clients:                       %s\n", strings.Join(at.Fronts, " ")) +
		fmt.Sprintf("  addresses for hosts and operator HTTP calls: %s\n", strings.Join(at.Controls, " ")) +
		fmt.Sprintf("  addresses for otterctl status:               %s\n\n", strings.Join(at.Status, " ")) +
		"Send a turn (each turn needs a unique X-Request-Id):\n\n" +
		fmt.Sprintf("  curl -iN http://%s/chat/1 -H 'Host: try.example' -H 'X-Request-Id: 0001' \\\n", front) +
		"    -H 'Program: p1' -H 'Session: s1' -H 'Budget: 60' -H 'X-Token-Count: 10,30' -d 'hello '\n\n" +
		"Continue from it with -H 'Previous: 0001'. A third turn of 30 tokens gets status 402, since the budget of 60 is spent.\n\n" +
		"Show the state of the tier, and read the configuration:\n\n" +
		fmt.Sprintf("  target/otterctl status --control %s\n", strings.Join(at.Status, " ")) +
		fmt.Sprintf("  curl http://%s/v1/config/read\n\n", at.Controls[0]) +
		"Ctrl-C stops all processes.\n"
}
