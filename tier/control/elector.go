package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/controlclient"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/timeline"
)

// controlGroup is the number of the group that holds the control state.
const controlGroup uint32 = 0

const (
	witnessValue   = "witness"
	callTimeout    = 350 * time.Millisecond
	proposeTimeout = 1200 * time.Millisecond
)

// prepareMode tells a witness why it is asked.
type prepareMode uint8

const (
	prepareBySelf     prepareMode = iota // the primary itself, or a founder
	prepareOnSilence                     // the primary is not heard
	prepareOnTransfer                    // the primary asked for it
)

// Elector is a control process's part in the register: its witness, and what it knows of the group.
type Elector struct {
	host    *multigroup.Node
	clients *rpc.Clients
	address string
	policy  membership.Policy
	lost    func(uint64) bool // whether a disk is provably lost
	log     *logrus.Entry

	timeline  *timeline.Timeline
	rounds    *consensus.RoundAllocator
	startedAt int64 // of this process

	voting  sync.Mutex // held while a vote is written, however long the disk takes; taken before mu
	mu      sync.Mutex
	witness consensus.Acceptor
	known   consensus.Record // the newest record seen: accepted here, told, or decided here
	decided bool             // whether known was decided by a proposal of this process
	learned int64            // when an epoch as new as that of known was seen first
	led     bool             // whether this process has become primary in its present life
}

func newElector(host *multigroup.Node, clients *rpc.Clients, address string, policy membership.Policy, log *logrus.Entry) (*Elector, error) {
	e := &Elector{lost: func(uint64) bool { return false }, host: host, clients: clients, address: address, policy: policy, log: log, startedAt: multigroup.Now()}
	content, err := host.Values.Read(witnessValue)
	if err != nil {
		return nil, err
	}
	if content != nil {
		if e.witness, err = consensus.DecodeAcceptor(content); err != nil {
			return nil, err
		}
		e.known = e.witness.Value
	}
	if e.rounds, err = openRounds(host.Values, e.witness); err != nil {
		return nil, err
	}
	if err := e.rounds.Reserve(); err != nil {
		log.WithError(err).Warn("rounds could not be reserved; the first proposal tries again")
	}
	return e, nil
}

// hasLed tells whether this process has become primary in its present life.
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

// Learn takes a record that was accepted here or told by another process. It need not have been decided: what is known says
// whom to ask and which epoch to suspect, and every decision is taken anew on the record that a quorum returns.
func (e *Elector) Learn(record consensus.Record) { e.note(record, false) }

func (e *Elector) note(record consensus.Record, decided bool) {
	if e.host.IsForeignCluster(record.ClusterID) {
		return
	}
	e.mu.Lock()
	if supersedes(record, decided, e.known, e.decided) {
		if record.Epoch > e.known.Epoch {
			e.learned = multigroup.Now()
		}
		e.known = record
		e.decided = decided
	}
	known := e.known
	e.mu.Unlock()
	e.host.WithGroup(controlGroup, func(g *replica.Group) { g.RecordVote(record.Epoch, record.Primary) })
	for _, member := range append(known.Voters(), known.Learners...) {
		e.host.SetAddress(member.ID, member.Address)
	}
}

// KnownSince is the newest record seen, and when its epoch was seen first.
func (e *Elector) KnownSince() (record consensus.Record, since int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known, e.learned
}

// supersedes tells whether a record is to replace the one known. Two records of one epoch may be seen, of which one at most was
// decided.
func supersedes(record consensus.Record, decided bool, known consensus.Record, knownDecided bool) bool {
	if record.Epoch != known.Epoch {
		return record.Epoch > known.Epoch
	}
	return record.IsBootstrapped() && (decided || !knownDecided)
}

// handlePrepare answers a prepare for this process's witness.
func (e *Elector) handlePrepare(message rpc.Message) {
	d := codec.NewDecoder(message.Payload)
	to := d.Uint64()
	mode := prepareMode(d.Uint8())
	ballot := consensus.DecodeProposalNumber(d)
	if d.Err() != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if to != e.host.Identity {
		message.Answer(codes.WrongIdentity, nil)
		return
	}
	if mode == prepareOnSilence && e.protectsPrimary() {
		message.Answer(codes.PrimaryAlive, nil)
		return
	}
	e.voting.Lock()
	defer e.voting.Unlock()
	given := e.vote(func(w *consensus.Acceptor) bool { return w.Prepare(ballot) })
	message.Answer(codes.OK, e.promise(given))
}

// handleAccept answers an accept for this process's witness.
func (e *Elector) handleAccept(message rpc.Message) {
	d := codec.NewDecoder(message.Payload)
	to := d.Uint64()
	ballot := consensus.DecodeProposalNumber(d)
	record := consensus.DecodeRecord(d)
	if d.Err() != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if to != e.host.Identity {
		message.Answer(codes.WrongIdentity, nil)
		return
	}
	if e.host.IsForeignCluster(record.ClusterID) {
		message.Answer(codes.DiskForeign, nil)
		return
	}
	e.voting.Lock()
	given := e.vote(func(w *consensus.Acceptor) bool { return w.Accept(ballot, record) })
	answer := e.promise(given)
	e.voting.Unlock()
	if given {
		e.Learn(record)
	}
	message.Answer(codes.OK, answer)
}

// vote changes the witness and makes the change durable before it counts; the lock on voting is held.
func (e *Elector) vote(change func(*consensus.Acceptor) bool) bool {
	e.mu.Lock()
	next := e.witness
	e.mu.Unlock()
	if !change(&next) {
		return false
	}
	if err := e.host.Values.Write(witnessValue, next.Encode()); err != nil {
		e.log.WithError(err).Error("witness could not be written; no vote is given")
		return false
	}
	e.mu.Lock()
	e.witness = next
	e.mu.Unlock()
	return true
}

func (e *Elector) promise(given bool) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	var enc codec.Encoder
	enc.Bool(given)
	consensus.EncodeProposalNumber(&enc, e.witness.Promised)
	consensus.EncodeProposalNumber(&enc, e.witness.Accepted)
	consensus.EncodeRecord(&enc, e.witness.Value)
	return enc.Bytes
}

func decodePromise(data []byte) (consensus.Response, error) {
	d := codec.NewDecoder(data)
	p := consensus.Response{
		Granted: d.Bool(), Promised: consensus.DecodeProposalNumber(d), Accepted: consensus.DecodeProposalNumber(d), Value: consensus.DecodeRecord(d),
	}
	return p, d.Err()
}

// witnessTransport reaches the witnesses of other processes, and this one's, over rpc.
type witnessTransport struct {
	elector *Elector
	mode    prepareMode
}

// Prepare asks a witness for its promise.
func (t witnessTransport) Prepare(ctx context.Context, to consensus.Member, ballot consensus.ProposalNumber) (consensus.Response, error) {
	var e codec.Encoder
	e.Uint64(to.ID)
	e.Uint8(uint8(t.mode))
	consensus.EncodeProposalNumber(&e, ballot)
	return t.call(ctx, to, controlclient.KindPrepare, e.Bytes)
}

// Accept asks a witness to take a value.
func (t witnessTransport) Accept(ctx context.Context, to consensus.Member, ballot consensus.ProposalNumber, value consensus.Record) (consensus.Response, error) {
	var e codec.Encoder
	e.Uint64(to.ID)
	consensus.EncodeProposalNumber(&e, ballot)
	consensus.EncodeRecord(&e, value)
	return t.call(ctx, to, controlclient.KindAccept, e.Bytes)
}

func (t witnessTransport) call(ctx context.Context, to consensus.Member, kind rpc.Kind, payload []byte) (consensus.Response, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := t.elector.clients.To(to.Address).Call(call, kind, payload)
	if errors.Is(err, codes.WrongIdentity) && t.elector.lost(to.ID) {
		return consensus.Response{DiskLost: true}, nil
	}
	if err != nil {
		return consensus.Response{}, err
	}
	return decodePromise(answer)
}

// proposer proposes in this process's name.
func (e *Elector) proposer(mode prepareMode) consensus.Proposer {
	return consensus.Proposer{ID: e.host.Identity, Rounds: e.rounds, Transport: witnessTransport{e, mode}}
}

// propose changes the register. Proposals may run side by side: each has ballots of its own.
func (e *Elector) propose(ctx context.Context, mode prepareMode, start consensus.Record, change consensus.Change) (consensus.Record, error) {
	return e.decide(ctx, func(attempt context.Context) (consensus.Record, error) {
		return e.proposer(mode).Propose(attempt, start, change)
	})
}

// decide runs a proposal and notes what it decided.
func (e *Elector) decide(ctx context.Context, proposal func(context.Context) (consensus.Record, error)) (consensus.Record, error) {
	e.mu.Lock()
	e.rounds.Observe(e.witness.Promised.Round)
	e.mu.Unlock()
	attempt, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	record, err := proposal(attempt)
	if err == nil {
		e.note(record, true)
	}
	return record, err
}

var errNotWanted = errors.New("another record has been decided meanwhile")

// TakeOver makes this process primary in place of the one of the suspected epoch.
func (e *Elector) TakeOver(ctx context.Context, mode prepareMode, suspected uint64, lost func(uint64) bool) error {
	attempt := &consensus.IdempotentChange{Change: func(current consensus.Record) (consensus.Record, bool) {
		// a suspected epoch above the current one was proposed and never decided
		if current.Epoch > suspected || !current.IsInSync(e.host.Identity) {
			return current, false
		}
		return e.policy.Successor(current, e.host.Identity, lost), true
	}}
	record, err := e.propose(ctx, mode, e.Known(), attempt.Apply)
	if err != nil {
		return err
	}
	if !attempt.Applied() {
		return errNotWanted
	}
	e.lead(record)
	return nil
}

// lead has the replica act on a record that this process has decided.
func (e *Elector) lead(record consensus.Record) {
	if !e.host.BindCluster(record.ClusterID) {
		return
	}
	e.mu.Lock()
	e.led = true
	e.mu.Unlock()
	e.timeline.Reach(timeline.PrimaryDecided)
	e.log.WithFields(logrus.Fields{"epoch": record.Epoch, "in_sync": len(record.InSync), "members": len(record.Members)}).Info("primary of control")
	e.host.SetView(controlGroup, membership.View(record))
}

// Adjust changes the record while this process is its primary: members, or the in-sync set.
func (e *Elector) Adjust(ctx context.Context, change func(consensus.Record) (consensus.Record, bool)) error {
	attempt := &consensus.IdempotentChange{Change: func(current consensus.Record) (consensus.Record, bool) {
		if current.Primary != e.host.Identity {
			return current, false
		}
		next, wanted := change(current)
		if !wanted {
			return current, false
		}
		next = e.policy.WithMinInSync(next)
		next.Epoch = current.Epoch + 1
		return next, true
	}}
	record, err := e.propose(ctx, prepareBySelf, e.Known(), attempt.Apply)
	if err != nil {
		return err
	}
	if attempt.Applied() {
		e.lead(record)
	}
	return nil
}

// Found decides the first record, with the members that were found among a number of seeds.
func (e *Elector) Found(ctx context.Context, members []consensus.Member, seeds int) error {
	installation := rand.Uint64() | 1
	attempt := &consensus.IdempotentChange{Change: func(current consensus.Record) (consensus.Record, bool) {
		if current.IsBootstrapped() {
			return current, false
		}
		next := e.policy.InitialRecord(e.host.Identity, members)
		next.ClusterID = installation
		return next, true
	}}
	record, err := e.decide(ctx, func(call context.Context) (consensus.Record, error) {
		return e.proposer(prepareBySelf).Bootstrap(call, members, seeds, attempt.Apply)
	})
	if err == nil && attempt.Applied() {
		e.lead(record)
	}
	return err
}
