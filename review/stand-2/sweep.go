package main

import (
	"errors"
	"fmt"
	"hash/crc32"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slowFor  = 5 * time.Second // kinds: for_s, how long (5)
	slowWait = time.Second     // from the start of the long turn to the slowdown
	// longTokens makes a turn of 95 events of 100 ms each: 9.5 s on a sound host.
	longTokens = 285
	// partsOfPrograms is the number of parts over which the tier spreads programs by the CRC-32 of their name. The names of the other
	// programs are chosen so that they meet the same part: that stands for the many other programs of a larger deployment.
	partsOfPrograms = 24
	fillerWorkers   = 20
)

var errCalm = errors.New("a turn was not served in calm time")

// sameShard returns names of programs that the tier keeps together with the given one.
func sameShard(program string, count int) []string {
	var names []string
	for len(names) < count {
		name := newID()
		if crc32.ChecksumIEEE([]byte(name))%partsOfPrograms == crc32.ChecksumIEEE([]byte(program))%partsOfPrograms {
			names = append(names, name)
		}
	}
	return names
}

// playSweep: a turn goes on from an earlier one within keep_s; its host turns slow, so that the turn ends more than ten seconds later.
func playSweep(r *record, trouble bool) (broken bool, err error) {
	t, err := newTier(r, 3, 3, 2)
	if err != nil {
		return false, err
	}
	defer t.stop()
	var engines []*host
	for i := range 7 { // one of seven is a share of .143
		engines = append(engines, &host{id: fmt.Sprintf("i-engine-%d", i+1), service: "engine", slots: 32, pause: 100 * time.Millisecond})
	}
	if err := t.run(config(1, 30000, keep.Seconds()), engines...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	front := t.fronts()[0]
	program := newID()
	first := turn{front: front, path: "/chat/1", id: newID(), program: program, tokens: 30, input: "first input.", deadline: 25 * time.Second}
	if got := t.send(first); !got.served() {
		return false, errCalm
	}
	firstEnded := time.Now()
	r.say("the first turn %s is answered whole", first.id)

	time.Sleep(keep - time.Second - time.Since(firstEnded))
	second := turn{
		front: front, path: "/chat/1", id: newID(), program: program, previous: first.id, tokens: longTokens, input: "second input.", deadline: 25 * time.Second,
	}
	secondDone := make(chan answer, 1)
	secondSent := time.Now()
	go func() { secondDone <- t.send(second) }()
	r.say("the second turn %s goes on from it %.1f s later, within keep_s", second.id, secondSent.Sub(firstEnded).Seconds())
	if trouble {
		time.Sleep(slowWait)
		for _, h := range engines {
			if _, times := find([]*host{h}, second.id); times > 0 {
				r.say("host %s, which runs it, works 4 times as long for %.0f s", h.id, slowFor.Seconds())
				h.slow(slowFor)
			}
		}
	}

	stop := make(chan struct{})
	var others atomic.Int64
	var fillers sync.WaitGroup
	time.Sleep(7*time.Second - time.Since(secondSent))
	for _, name := range sameShard(program, fillerWorkers) {
		fillers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if t.sendQuietly(turn{front: front, path: "/draft/1", id: newID(), program: name, budget: 1 << 20, tokens: 3, input: "x", deadline: 5 * time.Second}) {
					others.Add(1)
				}
			}
		})
	}
	got := <-secondDone
	secondEnded := time.Now()
	close(stop)
	fillers.Wait()
	if !got.served() {
		return false, errCalm
	}
	r.say("the second turn is answered whole after %.2f s, %.2f s after the first; meanwhile %d turns of other programs were served",
		got.took.Seconds(), secondEnded.Sub(firstEnded).Seconds(), others.Load())

	for try := range 5 {
		third := turn{front: front, path: "/chat/1", id: newID(), program: program, previous: second.id, tokens: 30, input: "third input.", deadline: 5 * time.Second}
		got := t.send(third)
		r.say("the third turn, try %d, goes on from the second one %.2f s after its end: status %d", try+1, time.Since(secondEnded).Seconds(), got.status)
		switch {
		case got.status == http.StatusNotFound || got.status == http.StatusGone:
			return true, nil
		case got.served():
			run, times := find(engines, third.id)
			expected := textOf(first.input, first.id, first.tokens) + textOf(second.input, second.id, second.tokens) + third.input
			r.note("it ran %d times; its body is the chain: %v", times, run.body == expected)
			return times != 1 || run.body != expected, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false, errCalm
}

// sendQuietly sends a turn of another program without a line in the record, and reports whether it was served.
func (t *tier) sendQuietly(each turn) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+each.front+each.path, strings.NewReader(each.input))
	if err != nil {
		return false
	}
	request.Host = clientHost
	for name, value := range map[string]string{
		"X-Request-Id": each.id, "Program": each.program, "Session": each.program, "Budget": fmt.Sprint(each.budget), "X-Model-Id": "m",
		"X-Token-Count": fmt.Sprintf("1,%d", each.tokens), "X-Deadline-Ms": fmt.Sprint(each.deadline.Milliseconds()),
	} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: each.deadline}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	buffer := make([]byte, 4096)
	for {
		if _, err := response.Body.Read(buffer); err != nil {
			return response.StatusCode == http.StatusOK && err.Error() == "EOF"
		}
	}
}
