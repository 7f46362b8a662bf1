package fleet

// This file owns the logs of the api gateways while a script is played: it reads what is added to each, counts lines and
// tells of them as events. It must never hold up a process: the logs are files.

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Line is one line of an api gateway's log.
type Line struct {
	At   float64 `json:"at"` // when it was read, in the day's time; at most a few hundredths of a second late
	Edge int     `json:"edge"`
	Text string  `json:"text"`
}

type logs struct {
	dir  string
	n    int
	mu   sync.Mutex
	all  []Line
	done chan struct{}
	wait sync.WaitGroup
}

func newLogs(dir string, n int) *logs { return &logs{dir: dir, n: n, done: make(chan struct{})} }

// mostLines are kept of all logs together.
const mostLines = 100_000

func (l *logs) begin(r *rig) {
	for e := range l.n {
		l.wait.Add(1)
		go l.follow(r, e)
	}
}

// end reads what is left and stops.
func (l *logs) end() {
	close(l.done)
	l.wait.Wait()
}

func (l *logs) follow(r *rig, e int) {
	defer l.wait.Done()
	f, err := os.Open(filepath.Join(l.dir, "edge-"+strconv.Itoa(e)+".log"))
	if err != nil {
		return
	}
	defer f.Close()
	var rest []byte
	last := false
	for {
		b, _ := io.ReadAll(f)
		rest = append(rest, b...)
		for {
			line, more, whole := bytes.Cut(rest, []byte("\n"))
			if !whole {
				break
			}
			rest = more
			l.line(r, e, string(line), last)
		}
		if last {
			return
		}
		select {
		case <-l.done:
			last = true
		case <-time.After(15 * time.Millisecond):
		}
	}
}

func (l *logs) line(r *rig, e int, raw string, last bool) {
	var j struct {
		Message string `json:"message"`
		Error   string `json:"error"`
		Level   string `json:"level"`
	}
	text := raw
	if json.Unmarshal([]byte(raw), &j) == nil {
		text = strings.TrimSpace(j.Message + " " + j.Error)
	}
	keep := func(at float64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.all) < mostLines {
			l.all = append(l.all, Line{at, e, text})
		}
	}
	if last { // the day's clock has stopped
		keep(-1)
		return
	}
	r.fleet.Do(func() {
		keep(r.world.Queue.Now())
		r.seen("log", e, text)
	})
}

func (l *logs) lines() []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Line(nil), l.all...)
}
