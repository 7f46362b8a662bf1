package election

import (
	"context"
	"math/rand/v2"

	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/lease"
	"otterseam/tier/replica"
)

// Failover decides when this process tries to become primary. Watch, FindOrBootstrap and StepAside are called only by the supervisor's
// goroutine; the handlers may be called from any goroutine.
type Failover struct {
	elector    *Elector
	candidates *candidates
	draining   func() bool // whether this process is about to stop

	locatedAt      int64                 // when locate last started; used by the supervisor only
	steppedAsideAt int64                 // when StepAside last asked other members; used by the supervisor only
	backoff        lease.ElectionBackoff // used by the supervisor only
}

// NewFailover returns the failover of a process. draining reports whether the process is about to stop.
func NewFailover(elector *Elector, draining func() bool) *Failover {
	return &Failover{elector: elector, candidates: newCandidates(), draining: draining}
}

// input returns what this process knows about the primary.
func (f *Failover) input() lease.FailoverInput {
	e := f.elector
	known, learned := e.KnownSince()
	input := lease.FailoverInput{
		Now:             e.config.Now(),
		StartedAt:       e.startedAt,
		RecordLearnedAt: learned,
		InSync:          known.IsInSync(e.config.Self.ID),
		NamedPrimary:    known.Primary == e.config.Self.ID,
		HasLed:          e.hasLed(),
		Rank:            Rank(known, e.config.Self.ID),
		Jitter:          rand.Int64N(lease.ElectionStagger),
		DiskDegraded:    e.config.Node.DiskDegraded(),
	}
	e.config.Node.WithGroup(state.Group, func(g *replica.Group) {
		input.PrimaryConfirmedAt = g.PrimaryConfirmedAt()
		input.Leads = g.IsPrimary()
	})
	return input
}

// Watch takes over when the primary has been silent, or without a confirming majority, for too long.
func (f *Failover) Watch(ctx context.Context) {
	epoch := f.elector.Known().Epoch
	action := f.input().Next()
	if !f.backoff.MayPropose(epoch, f.elector.config.Now()) {
		action = lease.ActionLocatePrimary
	}
	switch action {
	case lease.ActionLocatePrimary:
		f.locateUnlessRecent(ctx)
	case lease.ActionResumeLead:
		f.tryTakeOver(ctx, PrepareBySelf, epoch)
	case lease.ActionTakeOver:
		f.tryTakeOver(ctx, PrepareOnSilence, epoch)
	}
}

// tryTakeOver tries to take over. Each failed proposal increases the backoff before the next one.
func (f *Failover) tryTakeOver(ctx context.Context, mode PrepareMode, epoch uint64) {
	if proposed, err := f.takeOver(ctx, mode, epoch); proposed && err != nil {
		f.backoff.Fail(epoch, f.elector.config.Now(), rand.Int64N)
	}
}

// Rank returns the position, counted from 0, of a replica among the in-sync replicas that may succeed the primary.
func Rank(record consensus.Record, id uint64) int {
	rank := 0
	for _, inSyncID := range record.InSync {
		if inSyncID == id {
			return rank
		}
		if inSyncID != record.Primary {
			rank++
		}
	}
	return rank
}

// takeOver asks the voters for pre-votes and makes a proposal only if it wins them, so that a process that can't win doesn't disturb the
// primary. If it loses, it locates the other control processes: the members that it knows may have been replaced, or its disk may be that
// of another cluster. It reports whether a proposal was made, and the error of a failed one.
func (f *Failover) takeOver(ctx context.Context, mode PrepareMode, epoch uint64) (proposed bool, err error) {
	if !f.elector.winsPreVote(ctx, mode, epoch) {
		if mode != PrepareOnTransfer {
			f.locateUnlessRecent(ctx)
		}
		return false, nil
	}
	if mode != PrepareOnTransfer {
		f.locate(ctx) // to find out which disks are lost
	}
	if f.elector.Known().Epoch != epoch {
		return false, nil
	}
	if err = f.elector.TakeOver(ctx, mode, epoch); err != nil {
		f.elector.config.Log.WithField("epoch", epoch).WithError(err).Info("takeover failed")
	}
	return true, err
}
