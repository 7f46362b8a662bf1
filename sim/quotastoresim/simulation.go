package quotastoresim

import (
	"fmt"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/replication"
	"otterseam/sim/eventqueue"
	"otterseam/sim/randstream"
)

// Times of the phases of a run, in seconds. Those after the fault phase count from its end.
const (
	faultsBegin     = 1.5
	workloadEnds    = 2.0
	finalCallsBegin = 14.0 // by then leases have expired, unreported usage is recovered and replicas are replaced
	runEnds         = 18.0

	clusterID        = 77
	groups           = 2
	firstIncarnation = 101
	maxClockOffset   = 400.0
	zones            = 3
)

// maxLogEntries holds the limits on the length of logs, one of which a seed selects. Short logs cause frequent snapshots.
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
	processes       uint64 // number of processes that were started
	faultsOver      bool
	workload        *workload
	verdict         *Verdict
}

// RunSeed runs the simulation of one seed and returns the verdict.
func RunSeed(seed uint64, o Options) (v *Verdict) {
	v = &Verdict{Seed: seed}
	defer func() {
		// The Raft library panics, which ends a server's process, if its log contradicts the messages that it receives. The
		// simulation panics on a defect of its own.
		if r := recover(); r != nil {
			v.addLost("the run panicked: %v", r)
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
	s.workload.stopped = true
	s.queue.Run(o.FaultSeconds + finalCallsBegin)
	s.workload.finalCalls()
	s.queue.Run(o.FaultSeconds + runEnds)
	s.check()
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
		srv := &server{
			number: number, disk: map[int]*replication.PersistentState{}, clockOffset: s.random.Uniform(0, maxClockOffset), writeTime: fastDisk,
		}
		s.servers = append(s.servers, srv)
		s.wipe(srv)
		s.start(srv)
	}
	return s
}

func (s *simulation) bootstrap() {
	b := &protocol.Bootstrap{Cluster: clusterID, Groups: s.config.Groups, Replicas: s.config.Replicas}
	for _, srv := range s.servers {
		b.Members = append(b.Members, protocol.NewReplicaID(srv.number, srv.incarnation))
	}
	for _, srv := range s.servers {
		s.execute(srv, func() {
			writes, err := srv.node.Bootstrap(s.clock(srv), b)
			if err != nil {
				panic(err) // a defect of the simulation, which RunSeed reports
			}
			srv.cluster = b.Cluster
			srv.store(writes)
		})
	}
}

// clock returns the time of the clock of a server.
func (s *simulation) clock(srv *server) float64 { return s.queue.Now() + srv.clockOffset }

// randomServer returns a random server whose process runs, or nil if there is none.
func (s *simulation) randomServer() *server {
	var up []*server
	for _, srv := range s.servers {
		if srv.up {
			up = append(up, srv)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.random.IntN(len(up))]
}

// leader returns the server that leads a group, or nil if there is none.
func (s *simulation) leader(group int) *server {
	for _, srv := range s.servers {
		if srv.up && srv.node.Health()[group].IsLeader {
			return srv
		}
	}
	return nil
}
