package quotastoresim

import (
	"otterseam/internal/mutation"
	"otterseam/quotastore/replication"
)

const (
	tickInterval = 0.04  // seconds
	fastDisk     = 0.002 // approximate seconds of a write
	slowDisk     = 0.08
	maxBacklog   = 20000 // events that wait for one process

	streamEndDelay            = 0.005 // seconds until a server detects that a stream has ended
	streamEndDetectedChance   = 0.7
	pendingWriteDurableChance = 0.3 // that a pending write has reached the disk when its process ends
)

// server is a machine with its disk and the process that runs on it.
type server struct {
	number      int
	incarnation uint32
	cluster     uint64
	disk        map[int]*replication.PersistentState // by group
	writeTime   float64                              // approximate seconds of a write
	clockOffset float64                              // of the machine's clock, in seconds

	node      *replication.Node
	process   int // number of the current process; frames and timers of earlier ones are dropped
	up        bool
	frozen    bool
	writing   bool
	unwritten []replication.Write // writes in progress
	backlog   []func()            // events that wait for the process to resume or to finish its write
	calls     map[*call]bool      // client calls in flight
}

// wipe empties the disk of a machine, which gets a new incarnation.
func (s *simulation) wipe(srv *server) {
	srv.disk = map[int]*replication.PersistentState{}
	srv.cluster = 0
	if !mutation.LostDiskKeepsIncarnation || srv.incarnation == 0 {
		srv.incarnation = s.nextIncarnation
		s.nextIncarnation++
	}
}

// start starts a process from the state on the disk.
func (s *simulation) start(srv *server) {
	saved := map[int]*replication.PersistentState{}
	for group, state := range srv.disk {
		saved[group] = state.AfterSnapshot()
	}
	s.processes++
	node, err := replication.New(srv.number, srv.incarnation, srv.cluster, s.peers, s.config, s.seed<<16+s.processes, saved)
	if err != nil {
		s.verdict.addNotRecovered("keeper %d failed to start: %v", srv.number, err)
		return
	}
	srv.node = node
	srv.up = true
	srv.writing = false
	srv.backlog = nil
	srv.calls = map[*call]bool{}
	srv.process++
	process := srv.process
	s.queue.ScheduleAfter(s.random.Uniform(0, tickInterval), func() { s.tick(srv, process) })
}

// tick ticks a process periodically until it ends.
func (s *simulation) tick(srv *server, process int) {
	if srv.process != process || !srv.up {
		return
	}
	s.execute(srv, func() { srv.node.Tick(s.clock(srv)) })
	s.queue.ScheduleAfter(tickInterval, func() { s.tick(srv, process) })
}

// stop ends a process without a shutdown. The writes in progress reach the disk with a chance of pendingWriteDurableChance.
func (s *simulation) stop(srv *server) {
	if !srv.up {
		return
	}
	srv.up = false
	srv.node = nil
	if srv.unwritten != nil && s.random.Chance(pendingWriteDurableChance) {
		srv.store(srv.unwritten)
	}
	srv.unwritten = nil
	srv.process++
	for _, c := range srv.callsInOrder() {
		c.connectionLost()
	}
	srv.calls = nil
	for _, other := range s.servers {
		if other != srv {
			s.endStreams(srv, other)
		}
	}
}

// endStreams ends the streams between a server whose process has ended and another one, which detects it with a chance of
// streamEndDetectedChance unless a link between them is blocked.
func (s *simulation) endStreams(srv, other *server) {
	outgoing, incoming := link{srv.number, other.number}, link{other.number, srv.number}
	s.network.streams[outgoing]++
	s.network.streams[incoming]++
	if s.network.cuts[outgoing]+s.network.cuts[incoming] == 0 && s.random.Chance(streamEndDetectedChance) {
		s.queue.ScheduleAfter(streamEndDelay, func() {
			s.execute(other, func() { other.node.PeerDown(s.clock(other), srv.number) })
		})
	}
}

// execute runs an event in a process. The event waits while the process is frozen, and with one seed in three also while it writes.
func (s *simulation) execute(srv *server, event func()) {
	if !srv.up {
		return
	}
	if srv.writing && !srv.frozen && s.seed%3 > 0 { // other work continues during a write, as in the production code
		event()
		s.sendMessages(srv)
		return
	}
	if srv.frozen || srv.writing {
		if len(srv.backlog) < maxBacklog {
			srv.backlog = append(srv.backlog, event)
		}
		return
	}
	event()
	s.processReady(srv)
}

// store applies writes to the disk.
func (srv *server) store(writes []replication.Write) {
	for i := range writes {
		state := srv.disk[writes[i].Group]
		if state == nil {
			state = &replication.PersistentState{}
			srv.disk[writes[i].Group] = state
		}
		state.Apply(&writes[i])
	}
}

// processReady handles the output of a process: it passes on log lines, sends messages and starts writes. It returns once there is no
// more output or a write is in progress.
func (s *simulation) processReady(srv *server) {
	for {
		s.forwardLogLines(srv)
		ready := srv.node.Ready()
		s.sendMessages(srv) // a leader's messages need not wait for its disk
		if err := srv.node.Err(); err != nil {
			s.verdict.addNotRecovered("keeper %d: %v", srv.number, err)
			s.stop(srv)
			return
		}
		srv.cluster = srv.node.Cluster()
		if ready == nil {
			return
		}
		if s.options.Durable && len(ready.Writes) > 0 {
			s.write(srv, ready)
			return
		}
		srv.node.Advance(ready)
	}
}

func (s *simulation) forwardLogLines(srv *server) {
	for _, line := range srv.node.TakeLogLines() {
		if s.options.OnLogLine != nil {
			s.options.OnLogLine(s.queue.Now(), srv.number, line)
		}
	}
}

// write writes to the disk. The process continues once the write is done.
func (s *simulation) write(srv *server, ready *replication.Ready) {
	srv.writing = true
	srv.unwritten = ready.Writes
	process := srv.process
	s.queue.ScheduleAfter(srv.writeTime*s.random.Uniform(0.2, 2), func() {
		if srv.process != process {
			return
		}
		srv.store(ready.Writes)
		srv.writing = false
		srv.unwritten = nil
		if srv.frozen { // the write is done, and the process continues when it is resumed
			srv.backlog = append([]func(){func() { srv.node.Advance(ready) }}, srv.backlog...)
			return
		}
		srv.node.Advance(ready)
		s.processReady(srv)
		s.runBacklog(srv)
	})
}

// runBacklog runs the waiting events of a process until it waits again.
func (s *simulation) runBacklog(srv *server) {
	for len(srv.backlog) > 0 && !srv.writing && !srv.frozen && srv.up {
		event := srv.backlog[0]
		srv.backlog = srv.backlog[1:]
		event()
		s.processReady(srv)
	}
}
