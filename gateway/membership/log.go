package membership

import (
	"fmt"
	"strings"
)

const (
	// logInterval is the minimum time between two lines, in seconds, so that the failure of hundreds of members takes a few
	// lines.
	logInterval = 0.5
	// maxLoggedMembers is the maximum number of members listed in a line.
	maxLoggedMembers = 8
)

// logEvents collects what has happened since the last log line.
type logEvents struct {
	dead     []int
	alive    []int
	note     string // other events
	loggedAt float64
}

// LogLine returns a log line for all changes since the previous one, or "" if there are none or the previous line is less than
// logInterval old.
func (d *Detector) LogLine(now float64) string {
	if d == nil {
		return ""
	}
	pendingLog := &d.pendingLog
	nothing := len(pendingLog.dead)+len(pendingLog.alive) == 0 && pendingLog.note == ""
	if nothing || now-pendingLog.loggedAt < logInterval {
		return ""
	}
	pendingLog.loggedAt = now
	var line strings.Builder
	fmt.Fprintf(&line, "membership: %d of %d alive; heartbeat loss rate %.2f", d.AliveCount(), len(d.members), d.heartbeats.lossRate())
	writeMembers(&line, "gone", pendingLog.dead)
	writeMembers(&line, "back", pendingLog.alive)
	line.WriteString(pendingLog.note)
	pendingLog.dead = pendingLog.dead[:0]
	pendingLog.alive = pendingLog.alive[:0]
	pendingLog.note = ""
	return line.String()
}

func writeMembers(line *strings.Builder, label string, members []int) {
	if len(members) == 0 {
		return
	}
	fmt.Fprintf(line, "; %s %d:", label, len(members))
	for _, k := range members[:min(maxLoggedMembers, len(members))] {
		fmt.Fprintf(line, " %d", k)
	}
}
