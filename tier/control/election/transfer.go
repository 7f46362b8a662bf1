package election

import (
	"context"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

// stepAsideInterval is how often a primary with a degraded disk asks others to lead, in milliseconds. It is below ProposeTimeout: an
// attempt may still run when the next would be due, and the supervisor, which makes both, waits for it.
const stepAsideInterval = 1000

// HandOver asks the in-sync members one after the other to take the lead, until one has it. Those that skip names are not asked.
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

// StepAside asks a member whose disk works to take the lead, while this process leads and its own disk is degraded. Where none does,
// this process goes on leading: a slow disk everywhere must not leave the group without a primary.
func (f *Failover) StepAside(ctx context.Context, skip func(id uint64) bool) {
	if !f.elector.Leads() || f.elector.config.Now()-f.steppedAsideAt < stepAsideInterval {
		return
	}
	f.steppedAsideAt = f.elector.config.Now()
	transferred := f.HandOver(ctx, skip)
	f.elector.config.Log.WithFields(logrus.Fields{"code": uint16(codes.DiskStalled), "taken": transferred}).Warn("the disk does not do its work: another member is asked to lead")
}

// HandleTakeOver becomes primary if it can, and answers with the record that says so. A process that is itself about to stop
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
	_, _ = f.takeOver(ctx, PrepareOnTransfer, epoch) // the record that is known then tells what became of it
	known := f.elector.Known()
	if known.Primary != f.elector.config.Self.ID {
		message.Answer(codes.Unavailable, nil)
		return
	}
	message.Answer(codes.OK, encodeRecord(known))
}
