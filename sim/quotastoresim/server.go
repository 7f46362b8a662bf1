package quotastoresim

import (
	"otterseam/internal/mutation"
	"otterseam/quotastore/replication"
)

const (
	tickInterval = 0.04  // seconds
	fastDisk     = 0.002 // seconds that a write takes, about
	slowDisk     = 0.08
	maxBacklog   = 20000 // events that wait for a process

	streamEndDelay   = 0.005 // seconds until a server hears that a stream has ended
	streamEndHeard   = 0.7   // chance that it finds out that nobody listens any more
	unheardWriteDone = 0.3   // chance that a write was done when its process ends
)

// server is one machine: its disk, and the process that runs on it.
type server struct {
	number      int
	incarnation uint32
	cluster     uint64
	disk        map[int]*replication.PersistentState // by group
	writeTime   float64                              // seconds that a write takes, about
	clockOffset float64                              // of its clock, in seconds

	node      *replication.Node
	process   int // number of its process; what is meant for one before is not for this one
	up        bool
	frozen    bool
	writing   bool
	unwritten []replication.Write // what is being written
	backlog   []func()            // events that wait until it is awake and has written
	calls     map[*call]bool      // of clients, in flight
}

// wipe takes all that a machine had; it will have another incarnation.
func (s *simulation) wipe(x *server) {
	x.disk = map[int]*replication.PersistentState{}
	x.cluster = 0
	if !mutation.LostDiskKeepsIncarnation || x.incarnation == 0 {
		x.incarnation = s.nextIncarnation
		s.nextIncarnation++
	}
}

// start starts a process with what lies on the disk.
func (s *simulation) start(x *server) {
	saved := map[int]*replication.PersistentState{}
	for group, state := range x.disk {
		saved[group] = state.AfterSnapshot()
	}
	s.processes++
	node, err := replication.New(x.number, x.incarnation, x.cluster, s.peers, s.config, s.seed<<16+s.processes, saved)
	if err != nil {
		s.verdict.notRecovered("keeper %d does not start: %v", x.number, err)
		return
	}
	x.node = node
	x.up = true
	x.writing = false
	x.backlog = nil
	x.calls = map[*call]bool{}
	x.process++
	process := x.process
	s.queue.ScheduleAfter(s.random.Uniform(0, tickInterval), func() { s.tick(x, process) })
}

// tick ticks a process, and goes on to do so until it ends.
func (s *simulation) tick(x *server, process int) {
	if x.process != process || !x.up {
		return
	}
	s.execute(x, func() { x.node.Tick(s.clock(x)) })
	s.queue.ScheduleAfter(tickInterval, func() { s.tick(x, process) })
}

// stop ends a process outright. What was being written is on its disk or not.
func (s *simulation) stop(x *server) {
	if !x.up {
		return
	}
	x.up = false
	x.node = nil
	if x.unwritten != nil && s.random.Chance(unheardWriteDone) {
		x.store(x.unwritten)
	}
	x.unwritten = nil
	x.process++
	for _, c := range x.callsInOrder() {
		c.connectionLost()
	}
	x.calls = nil
	for _, y := range s.servers {
		if y != x {
			s.endStreams(x, y)
		}
	}
}

// endStreams ends the streams between a server whose process has ended and another one, which may find out.
func (s *simulation) endStreams(x, y *server) {
	there, back := link{x.number, y.number}, link{y.number, x.number}
	s.network.streams[there]++
	s.network.streams[back]++
	if s.network.cuts[there]+s.network.cuts[back] == 0 && s.random.Chance(streamEndHeard) {
		s.queue.ScheduleAfter(streamEndDelay, func() {
			s.execute(y, func() { y.node.PeerDown(s.clock(y), x.number) })
		})
	}
}

// execute has an event happen in a process, once it is awake and has written what it was writing.
func (s *simulation) execute(x *server, event func()) {
	if !x.up {
		return
	}
	if x.writing && !x.frozen && s.seed%3 > 0 { // all else goes on while it writes, as in the true program
		event()
		s.sendMessages(x)
		return
	}
	if x.frozen || x.writing {
		if len(x.backlog) < maxBacklog {
			x.backlog = append(x.backlog, event)
		}
		return
	}
	event()
	s.settle(x)
}

// store lays writes on the disk.
func (x *server) store(writes []replication.Write) {
	for i := range writes {
		state := x.disk[writes[i].Group]
		if state == nil {
			state = &replication.PersistentState{}
			x.disk[writes[i].Group] = state
		}
		state.Apply(&writes[i])
	}
}

// settle has a process log, send and write what it has to, until there is nothing more or it waits for its disk.
func (s *simulation) settle(x *server) {
	for {
		s.hearLogLines(x)
		ready := x.node.Ready()
		s.sendMessages(x) // a leader's messages need not wait for its disk
		if err := x.node.Err(); err != nil {
			s.verdict.notRecovered("keeper %d: %v", x.number, err)
			s.stop(x)
			return
		}
		x.cluster = x.node.Cluster()
		if ready == nil {
			return
		}
		if s.options.Durable && len(ready.Writes) > 0 {
			s.write(x, ready)
			return
		}
		x.node.Advance(ready)
	}
}

func (s *simulation) hearLogLines(x *server) {
	for _, line := range x.node.TakeLogLines() {
		if s.options.OnLogLine != nil {
			s.options.OnLogLine(s.queue.Now(), x.number, line)
		}
	}
}

// write writes to the disk, and has the process go on when that is done.
func (s *simulation) write(x *server, ready *replication.Ready) {
	x.writing = true
	x.unwritten = ready.Writes
	process := x.process
	s.queue.ScheduleAfter(x.writeTime*s.random.Uniform(0.2, 2), func() {
		if x.process != process {
			return
		}
		x.store(ready.Writes)
		x.writing = false
		x.unwritten = nil
		if x.frozen { // it has written, and goes on when it wakes
			x.backlog = append([]func(){func() { x.node.Advance(ready) }}, x.backlog...)
			return
		}
		x.node.Advance(ready)
		s.settle(x)
		s.resume(x)
	})
}

// resume has happen what waited.
func (s *simulation) resume(x *server) {
	for len(x.backlog) > 0 && !x.writing && !x.frozen && x.up {
		event := x.backlog[0]
		x.backlog = x.backlog[1:]
		event()
		s.settle(x)
	}
}
