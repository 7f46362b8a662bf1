package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

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
	tickets *tickets
	outages *outages

	mu     sync.Mutex
	shards map[uint32]directory.Shard
	stores map[uint64]directory.Store
	moved  chan struct{} // closed when the shard map changes
}

func newProgramClient(view *feed.View, outages *outages) *programClient {
	return &programClient{clients: rpc.NewClients(nil), view: view, tickets: newTickets(), outages: outages, moved: make(chan struct{})}
}

// update follows the shard map.
func (p *programClient) update(items []feed.Item) {
	for _, item := range items {
		if item.Section == feed.SectionShard || item.Section == feed.SectionStore {
			p.setMap(directory.Shards(p.view), directory.Stores(p.view))
			return
		}
	}
}

// setMap takes a shard map.
func (p *programClient) setMap(shards map[uint32]directory.Shard, stores map[uint64]directory.Store) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shards = shards
	p.stores = stores
	close(p.moved)
	p.moved = make(chan struct{})
}

// shardOf returns the shard of a program.
func (p *programClient) shardOf(program string) (uint32, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, found := directory.ShardOfProgram(program, p.shards)
	return held.ID, found
}

// primaryOf returns the address of a shard's primary, or nothing while it is not known.
func (p *programClient) primaryOf(shard uint32) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stores[p.shards[shard].View.Primary].Address
}

// away is how long the shard of a program is expected to be out of reach.
func (p *programClient) away(program string) time.Duration {
	shard, found := p.shardOf(program)
	if !found {
		return p.outages.remaining(needsView)
	}
	return p.outages.remaining(shardKey(shard))
}

// allShards lists the shards, if all of them are known.
func (p *programClient) allShards() ([]uint32, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []uint32
	total := uint32(0)
	for id, shard := range p.shards {
		ids = append(ids, id)
		total = shard.Total
	}
	return ids, len(ids) > 0 && uint32(len(ids)) == total
}

// call has a command carried out by the shard of a program. It tries until the context ends, so the command has to be
// idempotent.
func (p *programClient) call(ctx context.Context, program string, command []byte) (programs.Result, error) {
	for {
		if shard, found := p.shardOf(program); found {
			return p.callShard(ctx, shard, command)
		}
		if !pause(ctx) {
			return programs.Result{}, codes.StoreUnreachable
		}
	}
}

func (p *programClient) callShard(ctx context.Context, shard uint32, command []byte) (programs.Result, error) {
	for {
		result, err := p.attempt(ctx, shard, command)
		if err == nil || isDecision(err) {
			p.outages.worked(shardKey(shard))
			return result, err
		}
		if !errors.Is(ctx.Err(), context.Canceled) { // the client's leaving says nothing of the shard
			p.outages.failed(shardKey(shard))
		}
		if !pause(ctx) {
			return programs.Result{}, codes.StoreUnreachable
		}
	}
}

// pause waits a moment before a further attempt; it reports false when the context has ended.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(storePause):
		return true
	}
}

// search looks for a turn in all shards, for a program that goes on from a turn of another one. TurnUnknown is returned only
// when every shard has said so.
func (p *programClient) search(ctx context.Context, request string) (programs.Result, error) {
	shards, complete := p.allShards()
	if !complete {
		return programs.Result{}, codes.StoreUnreachable
	}
	type found struct {
		result programs.Result
		err    error
	}
	answers := make(chan found, len(shards))
	for _, shard := range shards {
		go func() {
			result, err := p.callShard(ctx, shard, programs.Fetch{Request: request}.Encode())
			answers <- found{result, err}
		}()
	}
	verdict := error(codes.TurnUnknown)
	for range shards {
		got := <-answers
		if got.err == nil {
			return got.result, nil
		}
		if !errors.Is(got.err, codes.TurnUnknown) {
			verdict = codes.StoreUnreachable
		}
	}
	return programs.Result{}, verdict
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

// endWhenMoved ends an attempt once another store leads the shard: the one that was asked may be silent for good.
func (p *programClient) endWhenMoved(attempt context.Context, end context.CancelFunc, shard uint32, address string) {
	for {
		p.mu.Lock()
		moved := p.moved
		leads := p.stores[p.shards[shard].View.Primary].Address
		p.mu.Unlock()
		if leads != address {
			end()
			return
		}
		select {
		case <-attempt.Done():
			return
		case <-moved:
		}
	}
}

// attempt has the store that leads a shard carry out a command.
func (p *programClient) attempt(ctx context.Context, shard uint32, command []byte) (programs.Result, error) {
	address := p.primaryOf(shard)
	if address == "" {
		return programs.Result{}, codes.StoreUnreachable
	}
	attempt, cancel := context.WithTimeout(ctx, storeAttempt)
	defer cancel()
	go p.endWhenMoved(attempt, cancel, shard, address)
	request := store.ProgramRequest{Shard: shard, Command: command}
	answer, err := p.clients.To(address).Call(attempt, store.KindProgram, request.Encode())
	if err != nil {
		return programs.Result{}, err
	}
	return programs.DecodeResult(answer)
}
