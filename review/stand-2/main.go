package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var errUnknownCase = errors.New("unknown case")

// cases maps the name of a case to its play, which reports whether the rule was broken.
var cases = map[string]func(t *record, trouble bool) (broken bool, err error){
	"sweep":  playSweep,
	"resume": playResume,
	"retire": playRetire,
	"late":   playLate,
	"shrink": playShrink,
}

// running is the deployment of this run, to be ended when this process is.
var running *tier

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand-2 CASE FOLDER:", errUnknownCase)
		return exitFailed
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	played := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
		played <- outcome{broken, err}
	}()
	select {
	case <-signals:
		if running != nil {
			running.stop()
		}
		return exitFailed
	case got := <-played:
		switch {
		case got.err != nil:
			r.say("the case could not run: %v", got.err)
			return exitFailed
		case got.broken:
			r.say("the rule was broken")
			return exitBroken
		default:
			r.say("the rule held")
			return exitHeld
		}
	}
}
