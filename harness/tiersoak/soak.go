package tiersoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"otterseam/harness/tiercluster"
	"otterseam/harness/tierhost"
)

// Options selects the run of a soak.
type Options struct {
	Program   string        // path of the otterseam-tier binary
	Dir       string        // holds settings, data and logs
	Network   int           // 1 to 250, different for each run of one process
	ProcessID int           // of the running process
	Seed      uint64        // of the faults and of the clients
	Duration  time.Duration // of the faults
	Large     bool          // many front machines
	Crowds    bool          // clients that don't behave, and processes that have to stay within their limits
	Floods    bool          // hosts that send without end, and processes that have to stay within their limits
}

// Report is what a soak measured.
type Report struct {
	Answered   int      // retained turns that were answered completely
	Continued  int      // of these, turns that continued another one
	Outlived   int      // of these, turns that ended after the retention of the chain that they continue
	Rejected   int      // tries without a complete answer
	Expired    int      // tries that were rejected because their chain had expired
	Others     int      // turns of other programs, which make the shards sweep
	Faults     []string // in the order in which they began
	Crowds     []string // in the order in which they came
	Floods     []string // in the order in which they began
	Plain      int      // plain requests that were answered while hosts flooded
	Violations []string // broken promises
}

const (
	startLimit   = 30 * time.Second // for the tier to serve after its start
	recoverLimit = 60 * time.Second // for all replicas to be in sync after the last fault
	engineSlots  = 64
	clients      = 30
	otherClients = 2
)

// size is the number of machines of each class, and how many of them may be lost.
type size struct{ fronts, controls, stores, toleratedLosses, engines int }

var (
	smallSize = size{fronts: 5, controls: 3, stores: 3, toleratedLosses: 1, engines: 5}
	largeSize = size{fronts: 60, controls: 5, stores: 7, toleratedLosses: 2, engines: 8}
)

// soak is a running soak.
type soak struct {
	options Options
	size    size
	cluster *tiercluster.Cluster
	history *history
	names   []string // programs of the clients and of the others, which share a few shards

	floodable []*tierhost.Host // the hosts that may flood

	mu           sync.Mutex // guards all below
	faults       []string
	crowds       []string
	floods       []string
	plainAnswers int
	violations   []string // of limits of processes
}

// Run starts a tier, plays the faults of a seed while clients send turns, and checks that the tier recovers. An error means that the run
// itself was not possible.
func Run(options Options) (Report, error) {
	s := &soak{options: options, size: smallSize, history: newHistory()}
	if options.Large {
		s.size = largeSize
	}
	if err := s.start(); err != nil {
		return Report{}, err
	}
	defer s.cluster.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var load sync.WaitGroup
	for i := range clients {
		load.Go(func() { s.newClient(i).run(ctx) })
	}
	for i := range otherClients {
		load.Go(func() { s.newClient(clients + i).runOthers(ctx) })
	}
	endDisturbances := s.startDisturbances(ctx, &load)
	s.playFaults()
	endDisturbances()
	recovered := s.awaitRecovery()
	cancel()
	load.Wait()
	report := s.history.report()
	report.Faults = s.faults
	report.Crowds = s.crowds
	report.Floods = s.floods
	report.Plain = s.plainAnswers
	report.Violations = append(report.Violations, s.violations...)
	report.Violations = append(report.Violations, recovered...)
	report.Violations = append(report.Violations, s.history.checkExecutions(s.executions())...)
	return report, nil
}

// startDisturbances starts what comes beside the faults. The function that it returns ends it.
func (s *soak) startDisturbances(ctx context.Context, load *sync.WaitGroup) (end func()) {
	endCrowds, endFloods := func() {}, func() {}
	if s.isLimited() {
		load.Go(func() { s.watchProcesses(ctx) })
	}
	if s.options.Crowds {
		endCrowds = s.startCrowds(ctx)
	}
	if s.options.Floods {
		endFloods = s.startFloods(ctx, load)
	}
	return func() {
		endCrowds()
		endFloods()
	}
}

// isLimited reports whether the processes know their limits and have to stay within them.
func (s *soak) isLimited() bool { return s.options.Crowds || s.options.Floods }

// startCrowds starts crowds. The function that it returns ends them.
func (s *soak) startCrowds(ctx context.Context) (end func()) {
	crowdsCtx, cancel := context.WithCancel(ctx)
	var present sync.WaitGroup
	present.Go(func() { s.playCrowds(crowdsCtx) })
	return func() {
		cancel()
		present.Wait()
	}
}

// start starts the tier and waits until it serves.
func (s *soak) start() error {
	options := tiercluster.Options{
		Program: s.options.Program, Dir: s.options.Dir, Network: s.options.Network, ProcessID: s.options.ProcessID,
		Fronts: s.size.fronts, Controls: s.size.controls, Stores: s.size.stores, ToleratedLosses: s.size.toleratedLosses,
	}
	if s.isLimited() {
		options.Limits = processLimits
	}
	cluster, err := tiercluster.Start(options)
	if err != nil {
		return err
	}
	s.cluster = cluster
	if err := s.prepare(); err != nil {
		cluster.Stop()
		return err
	}
	return nil
}

func (s *soak) prepare() error {
	for i := range s.size.engines {
		if err := s.addEngine(i); err != nil {
			return err
		}
	}
	if s.options.Floods {
		if err := s.addPlainHosts(); err != nil {
			return err
		}
		s.selectFloodable()
	}
	if got := s.cluster.ReplaceConfig(0, config(1), startLimit); got.Err != nil || got.Status != http.StatusOK {
		return fmt.Errorf("first configuration: status %d: %w", got.Status, got.Err)
	}
	if err := s.cluster.WaitReady(startLimit); err != nil {
		return err
	}
	if err := tiercluster.WaitUntil(startLimit, func() bool { return s.cluster.IsInSync(s.size.toleratedLosses*2 + 1) }); err != nil {
		return err
	}
	state, err := s.cluster.Status()
	if err != nil {
		return err
	}
	s.names = programNames(state.Shards, clients+otherClients)
	return nil
}

func (s *soak) addEngine(number int) error {
	_, err := s.cluster.AddHost(fmt.Sprintf("engine-%d", number), "engine", engineSlots)
	return err
}

// random returns a source of random numbers for one user of them, so that its draws depend on the seed alone.
func (s *soak) random(user uint64) *rand.Rand { return rand.New(rand.NewPCG(s.options.Seed, user)) }

// awaitRecovery waits until all replicas are in sync and a chain of turns is answered. It returns what the tier failed to do.
func (s *soak) awaitRecovery() []string {
	replicas := s.size.toleratedLosses*2 + 1
	if err := tiercluster.WaitUntil(recoverLimit, func() bool { return s.cluster.IsInSync(replicas) }); err != nil {
		return []string{fmt.Sprintf("%d replicas of all shards in sync after the faults: %v", replicas, err)}
	}
	client := s.newClient(clients + otherClients - 1)
	answered := s.history.answeredTurns()
	err := tiercluster.WaitUntil(recoverLimit, func() bool {
		client.nextTurn(context.Background())
		return s.history.answeredTurns() > answered
	})
	if err != nil {
		return []string{fmt.Sprintf("a turn is answered after the faults: %v", err)}
	}
	return nil
}
