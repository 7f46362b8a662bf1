package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lead     = 10 * time.Second // traffic starts that long after the machines
	recovery = 12 * time.Second // recovery_s

	darkFor   = 5 * time.Second         // kinds: for_s, how long (5)
	lossAfter = 4500 * time.Millisecond // from the first kill to the loss of the disk
	keep      = 60 * time.Second        // keep_s
)

// line is a program's line of turns as its client knows it.
type line struct {
	program string
	last    string    // the last turn answered whole
	ended   time.Time // when its answer ended
	text    string    // its input and the data of its events
}

// sendUntilServed sends a turn as a client does: with a new id for each try, once more after a promise within the deadline, and again
// from its start at most twice. It returns the id of the try that was served, and counts the tries, the served ones and the answers 404.
func (t *tier) sendUntilServed(each turn, count *tally) (id string, served bool) {
	for round := range 3 {
		if round > 0 {
			time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
		}
		began := time.Now()
		for try := range 2 {
			one := each
			one.id = newID()
			one.front = t.fronts()[rand.IntN(len(t.fronts()))]
			one.deadline = each.deadline - time.Since(began)
			got := t.send(one)
			count.tries.Add(1)
			if got.served() {
				count.served.Add(1)
				return one.id, true
			}
			if got.status == http.StatusNotFound || got.status == http.StatusGone {
				count.lost.Add(1)
				return "", false
			}
			if try > 0 || (got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests) {
				break
			}
			left := each.deadline - time.Since(began)
			after, _ := strconv.ParseFloat(got.retry, 64)
			time.Sleep(min(time.Duration(after*float64(time.Second)), left/3))
		}
	}
	return "", false
}

type tally struct{ tries, served, lost atomic.Int64 }

func (c *tally) String() string {
	return fmt.Sprintf("%d requests, %d served, %d answered 404 or 410", c.tries.Load(), c.served.Load(), c.lost.Load())
}

// inputOf returns the input of a program's turn.
func inputOf(program string, number int) string {
	return fmt.Sprintf("input %d of %s.", number, program)
}

// textOf returns what the next turn is to hand to the host before its own input.
func textOf(input, request string, tokens int) string {
	text := input
	for id := 1; id <= tokens/stride; id++ {
		text += eventData(request, id) + "\n"
	}
	return text
}

// playRetire: a store machine is to be emptied. One of the two others is dark for five seconds, and the last one loses its disk meanwhile.
func playRetire(r *record, trouble bool) (broken bool, err error) {
	return playLosses(r, losses{cores: 3, stores: 3, tolerate: 1, recovery: recovery, disrupt: func(t *tier) error {
		stores := t.ofClass("storage")
		began := time.Now()
		if trouble {
			t.kill(stores[2])
			time.Sleep(time.Second - time.Since(began))
		}
		if err := t.beginRetirement(stores[0].name); err != nil {
			return err
		}
		if !trouble {
			time.Sleep(darkFor - time.Since(began))
			t.noteRetirement(stores[0].name)
			return nil
		}
		time.Sleep(lossAfter - time.Since(began))
		t.noteRetirement(stores[0].name)
		t.kill(stores[1])
		if err := t.wipe(stores[1]); err != nil {
			return err
		}
		time.Sleep(darkFor - time.Since(began))
		return t.startAll(stores[1:])
	}})
}

// losses is what a play of playLosses consists of.
type losses struct {
	cores, stores, tolerate int
	recovery                time.Duration
	disrupt                 func(*tier) error
	after                   func() bool // asked at the end; false breaks a rule; may be nil
}

// playLosses gets turns of many programs answered, has the disruption take place, and judges recovery_s after it whether the programs can
// go on.
func playLosses(r *record, play losses) (broken bool, err error) {
	t, err := newTier(r, play.cores, play.stores, 2)
	if err != nil {
		return false, err
	}
	defer t.stop()
	t.tolerate = play.tolerate
	var engines []*host
	for i := range 3 {
		engines = append(engines, &host{id: fmt.Sprintf("i-engine-%d", i+1), service: "engine", slots: 32, pause: 20 * time.Millisecond})
	}
	if err := t.run(config(1, 5000, keep.Seconds()), engines...); err != nil {
		return false, err
	}
	time.Sleep(lead)

	const programs, tokens = 48, 30
	lines := make([]line, programs)
	var before tally
	var wait sync.WaitGroup
	for i := range lines {
		wait.Go(func() {
			program := fmt.Sprintf("p%d-%s", i, newID())
			first := turn{path: "/chat/1", program: program, budget: 3000, tokens: tokens, input: inputOf(program, 1), deadline: 5 * time.Second}
			if id, served := t.sendUntilServed(first, &before); served {
				lines[i] = line{program, id, time.Now(), textOf(first.input, id, tokens)}
			}
		})
	}
	wait.Wait()
	r.say("before: %s", &before)
	if before.served.Load() < programs {
		return false, fmt.Errorf("only %d of %d first turns were served in calm time", before.served.Load(), programs)
	}

	if err := play.disrupt(t); err != nil {
		return false, err
	}
	r.say("all machines run")
	time.Sleep(play.recovery)

	var goingOn, fresh tally
	wrong := atomic.Int64{}
	for i := range lines {
		wait.Go(func() {
			time.Sleep(rand.N(4 * time.Second))
			each := lines[i]
			next := turn{
				path: "/chat/1", program: each.program, previous: each.last, budget: 3000, tokens: tokens, input: inputOf(each.program, 2), deadline: 5 * time.Second,
			}
			if time.Since(each.ended) > keep-15*time.Second {
				r.note("the turn %s is too old to go on from", each.last)
				return
			}
			id, served := t.sendUntilServed(next, &goingOn)
			if run, times := find(engines, id); served && (times != 1 || run.body != each.text+next.input) {
				wrong.Add(1)
				r.note("turn %s ran %d times with the body %q and not %q", id, times, run.body, each.text+next.input)
			}
		})
		wait.Go(func() {
			time.Sleep(rand.N(4 * time.Second))
			program := fmt.Sprintf("q%d-%s", i, newID())
			t.sendUntilServed(turn{path: "/chat/1", program: program, budget: 3000, tokens: tokens, input: inputOf(program, 1), deadline: 5 * time.Second}, &fresh)
		})
	}
	wait.Wait()
	tries, served := goingOn.tries.Load()+fresh.tries.Load(), goingOn.served.Load()+fresh.served.Load()
	r.say("later than recovery_s after all were back: turns that go on: %s; first turns: %s; wrong bodies: %d", &goingOn, &fresh, wrong.Load())
	r.say("served %d of %d requests (RECOVER wants a quarter); answers 404 to kept turns: %d (LOST wants none)", served, tries, goingOn.lost.Load())
	broken = 4*served < tries || goingOn.lost.Load() > 0 || wrong.Load() > 0
	if play.after != nil && !play.after() {
		broken = true
	}
	return broken, nil
}
