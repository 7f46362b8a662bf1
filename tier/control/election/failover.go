package election

import (
	"context"
	"math/rand/v2"

	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/lease"
	"otterseam/tier/replica"
)

// Failover decides when this process tries to become primary. Watch, FindOrBootstrap and StepAside are of one goroutine, the
// supervisor's; the handlers may be called from any.
type Failover struct {
	elector    *Elector
	candidates *candidates
	draining   func() bool // whether this process is about to stop

	locatedAt      int64                 // of the supervisor
	steppedAsideAt int64                 // of the supervisor
	backoff        lease.ElectionBackoff // of the supervisor
}

// NewFailover makes the failover of a process. draining tells whether the process is about to stop.
func NewFailover(elector *Elector, draining func() bool) *Failover {
	return &Failover{elector: elector, candidates: newCandidates(), draining: draining}
}

// input is what this process knows of its primary.
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

// Watch takes over when the primary has been silent, or without a majority, for too long.
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

// tryTakeOver takes over, and waits longer and longer where that fails again and again.
func (f *Failover) tryTakeOver(ctx context.Context, mode PrepareMode, epoch uint64) {
	if proposed, err := f.takeOver(ctx, mode, epoch); proposed && err != nil {
		f.backoff.Fail(epoch, f.elector.config.Now(), rand.Int64N)
	}
}

// Rank is a replica's place among those that may follow the primary, from 0 on.
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

// takeOver asks the others first whether they would follow, and only then for their promises, so that a process that could not
// win disturbs nobody. One without support looks around: whom it knows may have been replaced, or it may have the disk of another
// cluster. It tells whether a proposal was made, and the error of one that failed.
func (f *Failover) takeOver(ctx context.Context, mode PrepareMode, epoch uint64) (proposed bool, err error) {
	if !f.elector.winsPreVote(ctx, mode, epoch) {
		if mode != PrepareOnTransfer {
			f.locateUnlessRecent(ctx)
		}
		return false, nil
	}
	if mode != PrepareOnTransfer {
		f.locate(ctx) // whose disks are lost
	}
	if f.elector.Known().Epoch != epoch {
		return false, nil
	}
	if err = f.elector.TakeOver(ctx, mode, epoch); err != nil {
		f.elector.config.Log.WithField("epoch", epoch).WithError(err).Info("takeover did not succeed")
	}
	return true, err
}
