package main

import (
	"fmt"
	"strings"
)

// addresses say where a running tier is reached.
type addresses struct {
	Fronts   []string // by clients
	Controls []string // by hosts and the operator's HTTP calls
	Status   []string // by otterctl status: the internal ports of control
	Logs     string   // the folder with logs
}

// greeting tells how to use the tier. Each command in it can be run as it stands.
func greeting(at addresses) string {
	front := at.Fronts[0]
	return fmt.Sprintf("The tier is up. Logs: %s\n", at.Logs) +
		fmt.Sprintf("  clients call                        %s\n", strings.Join(at.Fronts, " ")) +
		fmt.Sprintf("  hosts and the operator's calls go to %s\n", strings.Join(at.Controls, " ")) +
		fmt.Sprintf("  otterctl status asks                %s\n\n", strings.Join(at.Status, " ")) +
		"Ask for a turn (each needs an X-Request-Id of its own):\n\n" +
		fmt.Sprintf("  curl -iN http://%s/chat/1 -H 'Host: try.example' -H 'X-Request-Id: 0001' \\\n", front) +
		"    -H 'Program: p1' -H 'Session: s1' -H 'Budget: 60' -H 'X-Token-Count: 10,30' -d 'hello '\n\n" +
		"Go on from it with -H 'Previous: 0001'. A third turn of 30 tokens gets 402: the budget of 60 is spent.\n\n" +
		"See who leads, and read back the configuration:\n\n" +
		fmt.Sprintf("  target/otterctl status --control %s\n", strings.Join(at.Status, " ")) +
		fmt.Sprintf("  curl http://%s/v1/config/read\n\n", at.Controls[0]) +
		"Ctrl-C ends all.\n"
}
