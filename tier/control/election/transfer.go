package election

import (
	"context"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

// stepAsideInterval is the interval, in milliseconds, at which a primary with a degraded disk asks other members to take over. It is
// below ProposeTimeout, so an attempt may outlast the interval. The supervisor, which makes all attempts, then waits for it to end.
const stepAsideInterval = 1000

// HandOver asks the in-sync members one after the other to take over, until one of them has. Members for which skip returns true are
// left out. It reports whether a member took over.
func (f *Failover) HandOver(ctx context.Context, skip func(id uint64) bool) bool {
	known := f.elector.Known()
	for _, id := range known.InSync {
		member, found := known.Member(id)
		if id == f.elector.config.Self.ID || !found || skip(id) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, ProposeTimeout)
		answer, err := f.elector.config.Clients.To(member.Address).Call(call, KindTakeOver, encodeTakeOver(known.Epoch))
		cancel()
		if err == nil {
			f.elector.learnEncoded(answer)
			return true
		}
	}
	return false
}

// StepAside asks other members to take over if this process is the primary; the caller calls it while the disk of this process is
// degraded. If no member takes over, this process remains primary: slow disks on all members must not leave the group without one.
func (f *Failover) StepAside(ctx context.Context, skip func(id uint64) bool) {
	if !f.elector.Leads() || f.elector.config.Now()-f.steppedAsideAt < stepAsideInterval {
		return
	}
	f.steppedAsideAt = f.elector.config.Now()
	transferred := f.HandOver(ctx, skip)
	f.elector.config.Log.WithFields(logrus.Fields{"code": uint16(codes.DiskStalled), "taken": transferred}).Warn("disk stalled: asked the other in-sync members to take over as primary")
}

// HandleTakeOver tries to become primary and answers with the resulting record. A process that is about to stop or whose disk is degraded
// refuses.
func (f *Failover) HandleTakeOver(message rpc.Message) {
	epoch, err := decodeTakeOver(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if f.draining() || f.elector.config.Node.DiskDegraded() {
		message.Answer(codes.Unavailable, nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ProposeTimeout)
	defer cancel()
	_, _ = f.takeOver(ctx, PrepareOnTransfer, epoch) // the outcome is read from the known record
	known := f.elector.Known()
	if known.Primary != f.elector.config.Self.ID {
		message.Answer(codes.Unavailable, nil)
		return
	}
	message.Answer(codes.OK, encodeRecord(known))
}
