// Command tiertry starts a whole serving tier on loopback with stand-in hosts and a configuration, tells how to ask it for a
// turn with curl, and ends everything on Ctrl-C.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"otterseam/lab/tierrig"
)

type arguments struct {
	Program string `arg:"--program" default:"target/ottertier" help:"the tier's program"`
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
		fmt.Fprintln(os.Stderr, "tiertry: "+err.Error())
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
	rig, err := tierrig.Start(tierrig.Options{Program: args.Program, Dir: args.Dir, Network: 77, Fronts: 2, Controls: 3, Stores: 3, Tolerate: 1})
	if err != nil {
		return err
	}
	defer rig.Stop()
	for id, service := range map[string]string{"engine-1": "engine", "engine-2": "engine", "records-1": "records"} {
		if _, err := rig.AddHost(id, service, 8); err != nil {
			return err
		}
	}
	if answer := rig.Replace(0, tierrig.Config(1), startLimit); answer.Err != nil || answer.Status != 200 {
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
	fmt.Printf("The tier is up. Control: %v, clients: %v, logs: %s\n", rig.Controls(), rig.Fronts(), args.Dir)
	fmt.Printf("Ask for a turn (each needs an X-Request-Id of its own):\n\n  curl -iN http://%s/chat/1 -H 'Host: try.example'"+
		" -H 'X-Request-Id: 0001' \\\n    -H 'Program: p1' -H 'Session: s1' -H 'Budget: 60' -H 'X-Token-Count: 10,30' -d 'hello '\n\n"+
		"Go on from it with -H 'Previous: 0001'. A third turn of 30 tokens gets 402: the budget of 60 is spent. Ctrl-C ends all.\n", front)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	<-ended
	return nil
}

func askOnce(front string) error {
	header := map[string]string{"X-Request-Id": "0001", "Program": "p1", "Session": "s1", "Budget": "60", "X-Token-Count": "10,30"}
	answer := tierrig.Call("POST", "http://"+front+"/chat/1", "try.example", header, "hello ")
	if answer.Err != nil {
		return answer.Err
	}
	fmt.Printf("%d\n%s", answer.Status, answer.Body)
	return nil
}
