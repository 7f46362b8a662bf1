package quotastoresim

import (
	"fmt"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
	"otterseam/sim/eventqueue"
	"otterseam/sim/randstream"
)

// When what happens, in seconds; those after the faults count from their end.
const (
	faultsBegin    = 1.5
	workloadEnds   = 2.0
	lastCallsBegin = 14.0 // leases expire, unreported usage is recovered, and replicas are made before that
	runEnds        = 18.0

	clusterID        = 77
	groups           = 2
	firstIncarnation = 101
	maxClockOffset   = 400.0
	zones            = 3
)

// maxLogEntries is how long logs get: with short ones snapshots are made all the time.
var maxLogEntries = []int{24, 4096}

// simulation is the run of one seed.
type simulation struct {
	options Options
	seed    uint64
	queue   eventqueue.Queue
	random  randstream.Stream
	config  replication.Config
	peers   []replication.Peer
	servers []*server
	network network

	nextIncarnation uint32
	processes       uint64 // that were started
	faultsOver      bool
	workload        *workload
	verdict         *Verdict
}

// RunSeed runs one seed.
func RunSeed(seed uint64, o Options) (v *Verdict) {
	v = &Verdict{Seed: seed}
	defer func() {
		// The Raft library panics, and with it a server's process ends, when its log can't be what it was told. So does the
		// simulation on a fault of its own.
		if r := recover(); r != nil {
			v.lost("a keeper ended: %v", r)
		}
	}()
	s := newSimulation(seed, o, v)
	s.bootstrap()
	s.workload = newWorkload(s)
	if !o.NoFaults {
		s.queue.Schedule(faultsBegin, s.injectFault)
	}
	s.queue.Run(o.FaultSeconds)
	s.endFaults()
	s.queue.Run(o.FaultSeconds + workloadEnds)
	s.workload.over = true
	s.queue.Run(o.FaultSeconds + lastCallsBegin)
	s.workload.lastCalls()
	s.queue.Run(o.FaultSeconds + runEnds)
	s.judge()
	return v
}

func newSimulation(seed uint64, o Options, v *Verdict) *simulation {
	s := &simulation{
		options: o, random: randstream.New(seed, "keepers"), seed: seed, network: newNetwork(), verdict: v, nextIncarnation: firstIncarnation,
		config: replication.Config{
			Groups: groups, Replicas: o.Replicas, MaxLogEntries: maxLogEntries[seed/8%2], SnapshotRate: 1e6, ReplaceAfter: 2,
		},
	}
	for number := range o.Servers {
		s.peers = append(s.peers, replication.Peer{Name: fmt.Sprintf("k%d", number), Zone: fmt.Sprint(number % zones)})
	}
	for number := range o.Servers {
		x := &server{
			number: number, disk: map[int]*replication.PersistentState{}, clockOffset: s.random.Uniform(0, maxClockOffset), writeTime: fastDisk,
		}
		s.servers = append(s.servers, x)
		s.wipe(x)
		s.start(x)
	}
	return s
}

func (s *simulation) bootstrap() {
	b := &protocol.Bootstrap{Cluster: clusterID, Groups: s.config.Groups, Replicas: s.config.Replicas}
	for _, x := range s.servers {
		b.Members = append(b.Members, protocol.NewReplicaID(x.number, x.incarnation))
	}
	for _, x := range s.servers {
		s.execute(x, func() {
			writes, err := x.node.Bootstrap(s.clock(x), b)
			if err != nil {
				panic(err) // a fault of the simulation: RunSeed reports it
			}
			x.cluster = b.Cluster
			x.store(writes)
		})
	}
}

// clock is the time by the clock of a server.
func (s *simulation) clock(x *server) float64 { return s.queue.Now() + x.clockOffset }

// randomServer returns a server whose process runs; nil: there is none.
func (s *simulation) randomServer() *server {
	var up []*server
	for _, x := range s.servers {
		if x.up {
			up = append(up, x)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.random.IntN(len(up))]
}

// leader returns the server that leads a group; nil: there is none.
func (s *simulation) leader(group int) *server {
	for _, x := range s.servers {
		if x.up && x.node.Health()[group].IsLeader {
			return x
		}
	}
	return nil
}
