// Command localtier starts a whole serving tier on loopback with stand-in hosts and a configuration, tells how to ask it for a
// turn with curl, and ends everything on Ctrl-C.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"otterseam/harness/tiercluster"
)

type arguments struct {
	Program string `arg:"--program" default:"target/otterseam-tier" help:"the tier's program"`
	Dir     string `arg:"--dir" default:"target/try" help:"folder for settings, data and logs; it is emptied first"`
	Once    bool   `arg:"--once" help:"ask for one turn, print the answer and end"`

	Takeovers int `arg:"--takeovers" placeholder:"N" help:"kill the primary of control and a store N times, print how long until others answer, and end"`
}

// Description tells what the program is, for --help.
func (arguments) Description() string {
	return "A serving tier of 3 control, 3 store and 2 front machines on loopback, with stand-in hosts.\n" +
		"Exit codes: 0 ended as asked, 1 something failed."
}

const startLimit = 20 * time.Second

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "localtier: "+err.Error())
		os.Exit(1)
	}
}

func run(args arguments) error {
	if err := os.RemoveAll(args.Dir); err != nil {
		return err
	}
	if err := os.MkdirAll(args.Dir, 0o755); err != nil {
		return err
	}
	rig, err := tiercluster.Start(tiercluster.Options{Program: args.Program, Dir: args.Dir, Network: 77, Fronts: 2, Controls: 3, Stores: 3, Tolerate: 1})
	if err != nil {
		return err
	}
	defer rig.Stop()
	for id, service := range map[string]string{"engine-1": "engine", "engine-2": "engine", "records-1": "records"} {
		if _, err := rig.AddHost(id, service, 8); err != nil {
			return err
		}
	}
	if answer := rig.Replace(0, tiercluster.Config(1), startLimit); answer.Err != nil || answer.Status != 200 {
		return fmt.Errorf("the configuration was not taken: status %d, %w", answer.Status, answer.Err)
	}
	if err := rig.WaitReady(startLimit); err != nil {
		return fmt.Errorf("the tier did not become ready: %w", err)
	}
	if args.Takeovers > 0 {
		return measureTakeovers(rig, args.Takeovers)
	}
	front := rig.Fronts()[0]
	if args.Once {
		return askOnce(front)
	}
	fmt.Print(greeting(addresses{Fronts: rig.Fronts(), Controls: rig.Controls(), Status: rig.StatusAddresses(), Logs: args.Dir}))
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	<-ended
	return nil
}

// addresses say where a running tier is reached.
type addresses struct {
	Fronts   []string // by clients
	Controls []string // by hosts and the operator's HTTP calls
	Status   []string // by otterctl status: the internal ports of control
	Logs     string
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

func askOnce(front string) error {
	header := map[string]string{"X-Request-Id": "0001", "Program": "p1", "Session": "s1", "Budget": "60", "X-Token-Count": "10,30"}
	answer := tiercluster.Call("POST", "http://"+front+"/chat/1", "try.example", header, "hello ")
	if answer.Err != nil {
		return answer.Err
	}
	fmt.Printf("%d\n%s", answer.Status, answer.Body)
	return nil
}
