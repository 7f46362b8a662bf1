package tierrig

import (
	"context"
	"time"

	"otterseam/tier/codec"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/register"
	"otterseam/tier/rpc"
)

const stateLimit = 500 * time.Millisecond

func (r *Rig) internalControls() []string { return r.addresses("core", firstPort) }

// ControlRecord asks the control processes for the newest record of who leads them and who is in sync.
func (r *Rig) ControlRecord() register.Record {
	var newest register.Record
	for _, address := range r.internalControls() {
		ctx, cancel := context.WithTimeout(context.Background(), stateLimit)
		answer, err := rpc.NewClient(address, nil).Call(ctx, controlclient.KindLocate, nil)
		cancel()
		if err != nil {
			continue
		}
		d := codec.NewDecoder(answer)
		d.Uint64()
		if record := register.DecodeRecord(d); d.Err() == nil && record.Epoch > newest.Epoch {
			newest = record
		}
	}
	return newest
}

// Shards reads the shard map from a control process.
func (r *Rig) Shards() map[uint32]directory.Shard {
	view := feed.NewView()
	ctx, cancel := context.WithTimeout(context.Background(), stateLimit)
	defer cancel()
	subscriber := &feed.Subscriber{View: view, Addresses: r.internalControls, Changed: func([]feed.Item) { cancel() }}
	subscriber.Run(ctx)
	return directory.Shards(view)
}

// InSync tells whether control and every shard have so many replicas in sync.
func (r *Rig) InSync(copies int) bool {
	shards := r.Shards()
	for _, shard := range shards {
		if len(shard.View.InSync) < copies {
			return false
		}
	}
	return len(shards) > 0 && len(r.ControlRecord().InSync) >= copies
}
