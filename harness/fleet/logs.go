package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxLines are kept of all logs together.
	maxLines = 100_000
	// logInterval is the pause between two looks at a log.
	logInterval = 15 * time.Millisecond
	// afterEnd is the time of lines that were read after the end.
	afterEnd = -1
)

// Line is one line of an api gateway's log.
type Line struct {
	At      float64 `json:"at"` // when it was read, in seconds of the scenario, at most a few hundredths late; -1: after the end
	Gateway int     `json:"edge"`
	Text    string  `json:"text"`
}

// logFollower reads what the api gateways add to their logs, keeps the lines and tells of them as events. The logs are files, so that it
// holds up no process.
type logFollower struct {
	dir      string
	gateways int
	done     chan struct{}
	readers  sync.WaitGroup

	mu    sync.Mutex // guards lines
	lines []Line
}

func newLogFollower(dir string, gateways int) *logFollower {
	return &logFollower{dir: dir, gateways: gateways, done: make(chan struct{})}
}

// begin reads all logs until end. f is told of each line.
func (l *logFollower) begin(f *injector) {
	for gateway := range l.gateways {
		l.readers.Go(func() { l.follow(f, gateway) })
	}
}

// end reads what is left and stops.
func (l *logFollower) end() {
	close(l.done)
	l.readers.Wait()
}

// follow reads one log until end.
func (l *logFollower) follow(f *injector, gateway int) {
	file, err := os.Open(logPath(l.dir, gateway))
	if err != nil {
		return
	}
	defer file.Close()
	var rest []byte
	ending := false
	for {
		added, _ := io.ReadAll(file) // what can't be read now is read next time
		rest = append(rest, added...)
		for {
			line, more, complete := bytes.Cut(rest, []byte("\n"))
			if !complete {
				break
			}
			rest = more
			l.take(f, gateway, lineText(line), ending)
		}
		if ending {
			return
		}
		select {
		case <-l.done:
			ending = true
		case <-time.After(logInterval):
		}
	}
}

// lineText is what a log line says: its message and error if it is JSON, all of it otherwise.
func lineText(line []byte) string {
	var entry struct {
		Message string `json:"message"`
		Error   string `json:"error"`
	}
	if json.Unmarshal(line, &entry) != nil {
		return string(line)
	}
	return strings.TrimSpace(entry.Message + " " + entry.Error)
}

// take keeps a line and tells f of it, unless the scenario's clock has stopped.
func (l *logFollower) take(f *injector, gateway int, text string, ending bool) {
	if ending {
		l.keep(Line{At: afterEnd, Gateway: gateway, Text: text})
		return
	}
	f.gateways.Do(func() {
		l.keep(Line{At: f.world.Queue.Now(), Gateway: gateway, Text: text})
		f.event("log", gateway, text)
	})
}

func (l *logFollower) keep(line Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) < maxLines {
		l.lines = append(l.lines, line)
	}
}

func (l *logFollower) all() []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}
