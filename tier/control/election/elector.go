package election

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/timeline"
)

const (
	// CallTimeout bounds one call to another control process.
	CallTimeout = 350 * time.Millisecond
	// ProposeTimeout bounds a proposal including its retries. It exceeds three times CallTimeout, which leaves time for a prepare, an
	// accept and one retry of either.
	ProposeTimeout = 1200 * time.Millisecond
)

// ErrSuperseded is returned when another record was decided instead of the proposed one.
var ErrSuperseded = errors.New("another membership record was decided in the meantime")

// Config is the configuration of an Elector.
type Config struct {
	Node     *multigroup.Node
	Clients  *rpc.Clients
	Self     consensus.Member
	Policy   membership.Policy
	Timeline *timeline.Timeline
	Log      *logrus.Entry
	// Now returns the time in milliseconds of the monotonic clock that Node uses.
	Now func() int64
	// Seeds returns the addresses of possible control processes according to the current settings.
	Seeds func() []string
	// Bootstrap is true if this process may bootstrap the cluster together with the processes at BootstrapSeeds.
	Bootstrap      bool
	BootstrapSeeds func() []string
}

// Elector is a control process's part in the register: its acceptor, its proposals and the newest record that it knows. Its methods
// are safe for concurrent use.
type Elector struct {
	config Config

	identities *identities
	rounds     *consensus.RoundAllocator
	startedAt  int64 // start of this process

	voteMu      sync.Mutex // held while a vote is written, however long the disk takes; locked before mu
	mu          sync.Mutex // guards the fields below; no other lock is acquired while it is held
	acceptor    consensus.Acceptor
	known       consensus.Record // the newest record: accepted here, received from another process, or decided by a proposal of this process
	decided     bool             // whether known was decided by a proposal of this process
	epochSeenAt int64            // when the epoch of known, or a newer one, was first seen
	led         bool             // whether this process has become primary since it started
}

// New returns the Elector of a control process and restores its acceptor from disk.
func New(config Config) (*Elector, error) {
	e := &Elector{config: config, identities: newIdentities(config.Self, config.Now), startedAt: config.Now()}
	content, err := e.config.Node.Values.Read(acceptorValue)
	if err != nil {
		return nil, err
	}
	if content != nil {
		if e.acceptor, err = consensus.DecodeAcceptor(content); err != nil {
			return nil, err
		}
		e.known = e.acceptor.Value
	}
	if e.rounds, err = openRounds(e.config.Node.Values, e.acceptor); err != nil {
		return nil, err
	}
	if err := e.rounds.Reserve(); err != nil {
		e.config.Log.WithError(err).Warn("proposal rounds could not be reserved; retrying at the first proposal")
	}
	return e, nil
}

// hasLed reports whether this process has become primary since it started.
func (e *Elector) hasLed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.led
}

// Known returns the newest record that this process knows, decided or not.
func (e *Elector) Known() consensus.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// KnownSince returns the newest record that this process knows and the time at which its epoch was first seen.
func (e *Elector) KnownSince() (record consensus.Record, since int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known, e.epochSeenAt
}

// Leads reports whether this process is the primary of control, including the time in which it waits for a replica and can't commit.
func (e *Elector) Leads() bool {
	leads := false
	e.config.Node.WithGroup(state.Group, func(g *replica.Group) { leads = g.IsPrimary() })
	return leads
}

// Addresses returns the addresses of possible control processes: the known members, then the seeds.
func (e *Elector) Addresses() []string {
	var addresses []string
	for _, member := range e.Known().Members {
		addresses = append(addresses, member.Address)
	}
	for _, seed := range e.config.Seeds() {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// DiskLost reports whether the disk of a control process is provably lost.
func (e *Elector) DiskLost(id uint64) bool { return e.identities.diskLost(id, e.Known()) }

// ObserveAnswer records which process answered at an address. The answer counts as of since, the time at which the call was made.
func (e *Elector) ObserveAnswer(member consensus.Member, since int64) {
	e.identities.observeAnswer(member, since, e.Known())
}

// Learn updates the known record with one that was accepted here or received from another process. The record need not have been
// decided: the known record only determines which processes are called and which epoch is suspected, and each change is applied to the
// record that a quorum returns.
func (e *Elector) Learn(record consensus.Record) { e.observe(record, false) }

// observe updates the known record, the replica's view of the newest vote, and the addresses of the members.
func (e *Elector) observe(record consensus.Record, decided bool) {
	if e.config.Node.IsForeignCluster(record.ClusterID) {
		return
	}
	e.mu.Lock()
	if Supersedes(record, decided, e.known, e.decided) {
		if record.Epoch > e.known.Epoch {
			e.epochSeenAt = e.config.Now()
		}
		e.known = record
		e.decided = decided
	}
	known := e.known
	e.mu.Unlock()
	e.config.Node.WithGroup(state.Group, func(g *replica.Group) { g.RecordVote(record.Epoch, record.Primary) })
	for _, member := range append(known.Voters(), known.Learners...) {
		e.config.Node.SetAddress(member.ID, member.Address)
	}
}

// Supersedes reports whether a record replaces the known one. A process may see two records of the same epoch, of which at most one
// was decided.
func Supersedes(record consensus.Record, decided bool, known consensus.Record, knownDecided bool) bool {
	if record.Epoch != known.Epoch {
		return record.Epoch > known.Epoch
	}
	return record.IsBootstrapped() && (decided || !knownDecided)
}

// propose changes the register. Proposals may run concurrently: each uses its own proposal numbers.
func (e *Elector) propose(ctx context.Context, mode PrepareMode, start consensus.Record, change consensus.Change) (consensus.Record, error) {
	return e.runProposal(ctx, func(attempt context.Context) (consensus.Record, error) {
		return e.proposer(mode).Propose(attempt, start, change)
	})
}

// proposer returns a proposer with the identity of this process.
func (e *Elector) proposer(mode PrepareMode) consensus.Proposer {
	return consensus.Proposer{ID: e.config.Node.Identity, Rounds: e.rounds, Transport: acceptorTransport{e, mode}}
}

// runProposal runs a proposal within ProposeTimeout and observes the record that it decided.
func (e *Elector) runProposal(ctx context.Context, proposal func(context.Context) (consensus.Record, error)) (consensus.Record, error) {
	e.mu.Lock()
	promised := e.acceptor.Promised.Round
	e.mu.Unlock()
	e.rounds.Observe(promised)
	attempt, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	record, err := proposal(attempt)
	if err == nil {
		e.observe(record, true)
	}
	return record, err
}

// TakeOver makes this process primary in place of the primary of the suspected epoch. It returns ErrSuperseded if another record was
// decided in the meantime.
func (e *Elector) TakeOver(ctx context.Context, mode PrepareMode, suspected uint64) error {
	attempt := &consensus.IdempotentChange{Change: func(current consensus.Record) (consensus.Record, bool) {
		if !MayReplace(current, suspected, e.config.Node.Identity) {
			return current, false
		}
		return e.config.Policy.Successor(current, e.config.Node.Identity, e.DiskLost), true
	}}
	record, err := e.propose(ctx, mode, e.Known(), attempt.Apply)
	if err != nil {
		return err
	}
	if !attempt.Applied() {
		return ErrSuperseded
	}
	e.assumePrimary(record)
	return nil
}

// MayReplace reports whether a process that suspects the primary of an epoch may replace the primary of the current record. A suspected
// epoch above the current one was proposed but never decided.
func MayReplace(current consensus.Record, suspected, self uint64) bool {
	return current.Epoch <= suspected && current.IsInSync(self)
}

// Adjust changes the members or the in-sync set of the record if this process is its primary.
func (e *Elector) Adjust(ctx context.Context, change func(consensus.Record) (consensus.Record, bool)) error {
	attempt := &consensus.IdempotentChange{Change: func(current consensus.Record) (consensus.Record, bool) {
		if current.Primary != e.config.Node.Identity {
			return current, false
		}
		next, wanted := change(current)
		if !wanted {
			return current, false
		}
		next = e.config.Policy.WithMinInSync(next)
		next.Epoch = current.Epoch + 1
		return next, true
	}}
	record, err := e.propose(ctx, PrepareBySelf, e.Known(), attempt.Apply)
	if err != nil {
		return err
	}
	if attempt.Applied() {
		e.assumePrimary(record)
	}
	return nil
}

// assumePrimary passes a record that this process decided, and that names it as primary, to the replica.
func (e *Elector) assumePrimary(record consensus.Record) {
	if !e.config.Node.BindCluster(record.ClusterID) {
		return
	}
	e.mu.Lock()
	e.led = true
	e.mu.Unlock()
	e.config.Timeline.Reach(timeline.PrimaryDecided)
	e.config.Log.WithFields(logrus.Fields{"epoch": record.Epoch, "in_sync": len(record.InSync), "members": len(record.Members)}).Info("this process is the primary of control")
	e.config.Node.SetView(state.Group, membership.View(record))
}
