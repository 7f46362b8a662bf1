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
	// ProposeTimeout bounds a proposal with its repetitions. It is above three times CallTimeout: a prepare, an accept, and one of
	// them again.
	ProposeTimeout = 1200 * time.Millisecond
)

// ErrSuperseded says that another record has been decided in place of the one that was proposed.
var ErrSuperseded = errors.New("another record has been decided meanwhile")

// Config is what an Elector is made of.
type Config struct {
	Node     *multigroup.Node
	Clients  *rpc.Clients
	Self     consensus.Member
	Policy   membership.Policy
	Timeline *timeline.Timeline
	Log      *logrus.Entry
	// Now is the process's steady clock in milliseconds, the one that Node uses.
	Now func() int64
	// Seeds lists the addresses at which control processes may be, as the settings say now.
	Seeds func() []string
	// Bootstrap says that this process may bootstrap the cluster, with the processes at BootstrapSeeds.
	Bootstrap      bool
	BootstrapSeeds func() []string
}

// Elector is a control process's part in the register: its acceptor, and what it knows of the group. Its methods may be called from
// any goroutine.
type Elector struct {
	config Config

	identities *identities
	rounds     *consensus.RoundAllocator
	startedAt  int64 // of this process

	voteMu      sync.Mutex // held while a vote is written, however long the disk takes; taken before mu
	mu          sync.Mutex // guards what follows; nothing is called under it
	acceptor    consensus.Acceptor
	known       consensus.Record // the newest record seen: accepted here, told, or decided here
	decided     bool             // whether known was decided by a proposal of this process
	epochSeenAt int64            // when an epoch as new as that of known was seen first
	led         bool             // whether this process has become primary in its present incarnation
}

// New opens the acceptor of a control process.
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
		e.config.Log.WithError(err).Warn("rounds could not be reserved; the first proposal tries again")
	}
	return e, nil
}

// hasLed tells whether this process has become primary in its present incarnation.
func (e *Elector) hasLed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.led
}

// Known is the newest record seen.
func (e *Elector) Known() consensus.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// KnownSince is the newest record seen, and when its epoch was seen first.
func (e *Elector) KnownSince() (record consensus.Record, since int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known, e.epochSeenAt
}

// Leads tells whether this process is the primary of control, also while it waits for a replica and can commit nothing.
func (e *Elector) Leads() bool {
	leads := false
	e.config.Node.WithGroup(state.Group, func(g *replica.Group) { leads = g.IsPrimary() })
	return leads
}

// Addresses lists where other control processes may be: the members known, then the seeds.
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

// DiskLost tells whether a control process's disk is provably lost.
func (e *Elector) DiskLost(id uint64) bool { return e.identities.diskLost(id, e.Known()) }

// ObserveAnswer notes who answered at an address, and since when its answer counts.
func (e *Elector) ObserveAnswer(member consensus.Member, since int64) {
	e.identities.observeAnswer(member, since, e.Known())
}

// Learn takes a record that was accepted here or told by another process. It need not have been decided: what is known says
// whom to ask and which epoch to suspect, and every decision is taken anew on the record that a quorum returns.
func (e *Elector) Learn(record consensus.Record) { e.observe(record, false) }

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

// Supersedes tells whether a record is to replace the one known. Two records of one epoch may be seen, of which one at most was
// decided.
func Supersedes(record consensus.Record, decided bool, known consensus.Record, knownDecided bool) bool {
	if record.Epoch != known.Epoch {
		return record.Epoch > known.Epoch
	}
	return record.IsBootstrapped() && (decided || !knownDecided)
}

// propose changes the register. Proposals may run side by side: each has proposal numbers of its own.
func (e *Elector) propose(ctx context.Context, mode PrepareMode, start consensus.Record, change consensus.Change) (consensus.Record, error) {
	return e.runProposal(ctx, func(attempt context.Context) (consensus.Record, error) {
		return e.proposer(mode).Propose(attempt, start, change)
	})
}

// proposer proposes in the name of this process.
func (e *Elector) proposer(mode PrepareMode) consensus.Proposer {
	return consensus.Proposer{ID: e.config.Node.Identity, Rounds: e.rounds, Transport: acceptorTransport{e, mode}}
}

// runProposal runs a proposal and notes what it decided.
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

// TakeOver makes this process primary in place of the one of the suspected epoch. It returns ErrSuperseded if another record has
// been decided meanwhile.
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

// MayReplace tells whether a process may replace the primary of the current record by itself, where it suspects the primary of an epoch.
// A suspected epoch above the current one was proposed and never decided.
func MayReplace(current consensus.Record, suspected, self uint64) bool {
	return current.Epoch <= suspected && current.IsInSync(self)
}

// Adjust changes the record while this process is its primary: members, or the in-sync set.
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

// assumePrimary has the replica act on a record that this process has decided.
func (e *Elector) assumePrimary(record consensus.Record) {
	if !e.config.Node.BindCluster(record.ClusterID) {
		return
	}
	e.mu.Lock()
	e.led = true
	e.mu.Unlock()
	e.config.Timeline.Reach(timeline.PrimaryDecided)
	e.config.Log.WithFields(logrus.Fields{"epoch": record.Epoch, "in_sync": len(record.InSync), "members": len(record.Members)}).Info("primary of control")
	e.config.Node.SetView(state.Group, membership.View(record))
}
