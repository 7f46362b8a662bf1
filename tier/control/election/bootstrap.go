package election

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// bootstrapWait is how long, in milliseconds after its start, a bootstrapping process waits for all seeds. It is twice CallTimeout, so
// that each running seed was called at least once.
const bootstrapWait = 700

// FindOrBootstrap locates the cluster. If none is found and the settings allow this process to bootstrap one, it does so.
func (f *Failover) FindOrBootstrap(ctx context.Context) {
	f.locate(ctx)
	seeds := f.elector.config.BootstrapSeeds()
	if f.elector.Known().IsBootstrapped() || !f.elector.config.Bootstrap || !slices.Contains(seeds, f.elector.config.Self.Address) {
		return
	}
	input := membership.BootstrapInput{
		Self: f.elector.config.Self, Seeds: seeds, Candidates: f.candidates.all(), WaitElapsed: f.elector.config.Now()-f.elector.startedAt > bootstrapWait,
	}
	members, allowed := input.Members()
	if !allowed {
		return
	}
	if err := f.elector.bootstrap(ctx, members, len(seeds)); err != nil {
		f.elector.config.Log.WithError(err).Warn("bootstrap failed; retrying")
	}
}

// bootstrap decides the first record. members are the processes found among the given number of seeds.
func (e *Elector) bootstrap(ctx context.Context, members []consensus.Member, seeds int) error {
	clusterID := rand.Uint64() | 1
	attempt := &consensus.IdempotentChange{Change: func(current consensus.Record) (consensus.Record, bool) {
		if current.IsBootstrapped() {
			return current, false
		}
		next := e.config.Policy.InitialRecord(e.config.Node.Identity, members)
		next.ClusterID = clusterID
		return next, true
	}}
	record, err := e.runProposal(ctx, func(call context.Context) (consensus.Record, error) {
		return e.proposer(PrepareBySelf).Bootstrap(call, members, seeds, attempt.Apply)
	})
	if err == nil && attempt.Applied() {
		e.assumePrimary(record)
	}
	return err
}

// candidates is the set of processes that answered and were started to bootstrap the cluster.
type candidates struct {
	mu        sync.Mutex // guards byAddress
	byAddress map[string]consensus.Member
}

func newCandidates() *candidates { return &candidates{byAddress: map[string]consensus.Member{}} }

// set adds a process that answered to the candidates if it was started to bootstrap the cluster, and removes it otherwise.
func (c *candidates) set(member consensus.Member, bootstraps bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bootstraps {
		c.byAddress[member.Address] = member
	} else {
		delete(c.byAddress, member.Address)
	}
}

// all returns a copy of the candidates by address.
func (c *candidates) all() map[string]consensus.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byAddress)
}
