package membership

import (
	"fmt"
	"strings"
)

const (
	// logInterval is the least time between two lines, in seconds, so that a death of hundreds is a few lines.
	logInterval = 0.5
	// maxNamed is how many members a line names.
	maxNamed = 8
)

// logNews is what has happened since the last line for the log.
type logNews struct {
	dead     []int
	alive    []int
	note     string // something else
	loggedAt float64
}

// LogLine gives a line for the log, "" where there is nothing new: one for all that changed within half a second.
func (d *Detector) LogLine(now float64) string {
	if d == nil {
		return ""
	}
	news := &d.news
	nothing := len(news.dead)+len(news.alive) == 0 && news.note == ""
	if nothing || now-news.loggedAt < logInterval {
		return ""
	}
	news.loggedAt = now
	var line strings.Builder
	fmt.Fprintf(&line, "membership: %d of %d are there; %.2f of the beats missing", d.AliveCount(), len(d.members), d.heartbeats.lost())
	writeNamed(&line, "gone", news.dead)
	writeNamed(&line, "back", news.alive)
	line.WriteString(news.note)
	news.dead = news.dead[:0]
	news.alive = news.alive[:0]
	news.note = ""
	return line.String()
}

func writeNamed(line *strings.Builder, what string, members []int) {
	if len(members) == 0 {
		return
	}
	fmt.Fprintf(line, "; %s %d:", what, len(members))
	for _, k := range members[:min(maxNamed, len(members))] {
		fmt.Fprintf(line, " %d", k)
	}
}
