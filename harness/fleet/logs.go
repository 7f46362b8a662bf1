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
	// maxLines is the maximum number of lines kept of all logs together.
	maxLines = 100_000
	// logInterval is the interval at which a log is polled.
	logInterval = 15 * time.Millisecond
	// afterEnd is the time given to lines that were read after the end of the scenario.
	afterEnd = -1
)

// Line is one line of an api gateway's log.
type Line struct {
	At      float64 `json:"at"` // when it was read, in seconds of the scenario, at most a few hundredths of a second late; -1: after the end
	Gateway int     `json:"edge"`
	Text    string  `json:"text"`
}

// logFollower reads the lines that api gateways append to their logs, keeps them and raises an event for each. The logs are files, so that
// it blocks no process.
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

// start begins to read all logs and passes each line to f, until stop is called.
func (l *logFollower) start(f *injector) {
	for gateway := range l.gateways {
		l.readers.Go(func() { l.follow(f, gateway) })
	}
}

// stop reads the remaining lines and ends reading.
func (l *logFollower) stop() {
	close(l.done)
	l.readers.Wait()
}

// follow reads one log until stop is called.
func (l *logFollower) follow(f *injector, gateway int) {
	file, err := os.Open(logPath(l.dir, gateway))
	if err != nil {
		return
	}
	defer file.Close()
	var unread []byte
	ending := false
	for {
		added, _ := io.ReadAll(file) // after an error, the next poll reads the rest
		unread = append(unread, added...)
		for {
			line, remaining, complete := bytes.Cut(unread, []byte("\n"))
			if !complete {
				break
			}
			unread = remaining
			l.handleLine(f, gateway, lineText(line), ending)
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

// lineText returns the message and the error of a log line in JSON, or the whole line if it isn't JSON.
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

// handleLine keeps a line and passes it to f, which gets no lines after the scenario's end.
func (l *logFollower) handleLine(f *injector, gateway int, text string, ending bool) {
	if ending {
		l.appendLine(Line{At: afterEnd, Gateway: gateway, Text: text})
		return
	}
	f.gateways.Do(func() {
		l.appendLine(Line{At: f.world.Queue.Now(), Gateway: gateway, Text: text})
		f.handleEvent("log", gateway, text)
	})
}

func (l *logFollower) appendLine(line Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) < maxLines {
		l.lines = append(l.lines, line)
	}
}

func (l *logFollower) snapshot() []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}
