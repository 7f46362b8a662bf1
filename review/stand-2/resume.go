package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// playResume: a front machine is killed in the middle of a stream on a route that is both resumable and retained. The client goes on with
// the stream at another front machine, and then with the next turn.
func playResume(r *record, trouble bool) (broken bool, err error) {
	t, err := newTier(r, 3, 3, 2)
	if err != nil {
		return false, err
	}
	defer t.stop()
	var engines []*host
	for i := range 3 {
		engines = append(engines, &host{id: fmt.Sprintf("i-engine-%d", i+1), service: "engine", slots: 32, pause: 100 * time.Millisecond, byProgram: true})
	}
	if err := t.run(resumableConfig(), engines...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	const tokens, broken6 = 60, 6 // 20 events; the front is killed after the sixth
	program := newID()
	first := turn{
		front: t.fronts()[0], path: "/chat/1", id: newID(), program: program, budget: 3000, tokens: tokens, input: "first input.", deadline: 5 * time.Second,
	}
	began := time.Now()
	if trouble {
		front := t.ofClass("front")[0]
		first.onEvent = func(count int) {
			if count == broken6 {
				t.kill(front)
				time.AfterFunc(2800*time.Millisecond, func() { _ = t.start(front) })
			}
		}
	}
	got := t.send(first)
	seen := got.texts
	if trouble && got.whole {
		return false, errCalm
	}
	for try := 0; !got.whole && try < 4; try++ {
		time.Sleep(time.Duration(20+rand.IntN(80)) * time.Millisecond)
		first.front, first.id, first.onEvent = t.fronts()[1], newID(), nil
		first.lastEvent, first.deadline = strconv.Itoa(len(seen)), 5*time.Second-time.Since(began)
		got = t.send(first)
		seen = append(seen, got.texts...)
	}
	r.say("the client has %d of %d events of the first turn, the stream is whole: %v; the last request of it is %s", len(seen), tokens/stride, got.whole, first.id)
	if !got.served() || len(seen) != tokens/stride {
		return false, errCalm
	}
	expected := first.input
	for _, data := range seen {
		expected += data + "\n"
	}

	for range 5 {
		second := turn{
			front: t.fronts()[1], path: "/chat/1", id: newID(), program: program, previous: first.id, budget: 3000, tokens: 30, input: "second input.",
			deadline: 5 * time.Second,
		}
		got := t.send(second)
		run, times := find(engines, second.id)
		r.say("the second turn goes on from %s: status %d, run %d times", first.id, got.status, times)
		if times > 0 {
			r.say("handed to the host: %q", run.body)
			r.say("the chain is:       %q", expected+second.input)
			return times != 1 || run.body != expected+second.input, nil
		}
		if got.status == http.StatusNotFound {
			return true, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false, errCalm
}
