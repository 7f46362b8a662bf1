package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/programs"
	"otterseam/tier/rpc"
	"otterseam/tier/store"
)

const (
	storeAttempt = 500 * time.Millisecond
	storePause   = 30 * time.Millisecond
)

// programClient calls the stores that lead the shards of programs.
type programClient struct {
	clients *rpc.Clients
	view    *feed.View

	mu     sync.Mutex
	shards map[uint32]directory.Shard
	stores map[uint64]directory.Store
}

func newProgramClient(view *feed.View) *programClient {
	return &programClient{clients: rpc.NewClients(nil), view: view}
}

// update follows the shard map.
func (p *programClient) update(items []feed.Item) {
	for _, item := range items {
		if item.Section == feed.SectionShard || item.Section == feed.SectionStore {
			shards := directory.Shards(p.view)
			stores := directory.Stores(p.view)
			p.mu.Lock()
			p.shards = shards
			p.stores = stores
			p.mu.Unlock()
			return
		}
	}
}

// route returns the shard of a program and the address of its primary.
func (p *programClient) route(program string) (shard uint32, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.shards) == 0 {
		return 0, ""
	}
	shard = directory.ShardOf(program, len(p.shards))
	return shard, p.stores[p.shards[shard].View.Primary].Address
}

// call has a command carried out by the shard of a program. It tries until the context ends, so the command has to be
// idempotent.
func (p *programClient) call(ctx context.Context, program string, command []byte) (programs.Result, error) {
	for {
		result, err := p.attempt(ctx, program, command)
		if err == nil || isDecision(err) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return programs.Result{}, codes.StoreUnreachable
		case <-time.After(storePause):
		}
	}
}

// isDecision tells whether an error is the shard's answer, rather than that it could not be reached.
func isDecision(err error) bool {
	for _, code := range []codes.Code{codes.BudgetSpent, codes.TurnUnknown, codes.TurnSettled, codes.Malformed} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

func (p *programClient) attempt(ctx context.Context, program string, command []byte) (programs.Result, error) {
	shard, address := p.route(program)
	if address == "" {
		return programs.Result{}, codes.StoreUnreachable
	}
	attempt, cancel := context.WithTimeout(ctx, storeAttempt)
	defer cancel()
	var e codec.Encoder
	e.Uint32(shard)
	e.Bytes = append(e.Bytes, command...)
	answer, err := p.clients.To(address).Call(attempt, store.KindProgram, e.Bytes)
	if err != nil {
		return programs.Result{}, err
	}
	return programs.DecodeResult(answer)
}
