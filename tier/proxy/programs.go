package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/programs"
	"otterseam/tier/rpc"
	"otterseam/tier/store"
)

const (
	storeCallTimeout   = 500 * time.Millisecond
	storeRetryInterval = 30 * time.Millisecond
)

// ticketSource numbers the turns that this process begins.
type ticketSource struct {
	gateway uint64 // identifies the process
	last    atomic.Uint64
}

func newTicketSource() *ticketSource { return &ticketSource{gateway: rand.Uint64() | 1} }

// next is the ticket of another turn.
func (s *ticketSource) next() programs.Ticket {
	return programs.Ticket{Gateway: s.gateway, Number: s.last.Add(1)}
}

// programClient calls the stores that lead the shards of programs.
type programClient struct {
	clients *rpc.Clients
	view    *feed.View
	tickets *ticketSource
	outages *outageTracker

	mu         sync.Mutex // guards the shard map below
	shards     map[uint32]directory.Shard
	stores     map[uint64]directory.Store
	mapChanged chan struct{} // closed when the shard map changes
}

func newProgramClient(view *feed.View, outages *outageTracker) *programClient {
	return &programClient{
		clients: rpc.NewClients(nil), view: view, tickets: newTicketSource(), outages: outages, mapChanged: make(chan struct{}),
	}
}

// update follows the shard map in the view.
func (c *programClient) update(items []feed.Item) {
	for _, item := range items {
		if item.Section == feed.SectionShard || item.Section == feed.SectionStore {
			c.setMap(directory.Shards(c.view), directory.Stores(c.view))
			return
		}
	}
}

// setMap takes a shard map.
func (c *programClient) setMap(shards map[uint32]directory.Shard, stores map[uint64]directory.Store) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards = shards
	c.stores = stores
	close(c.mapChanged)
	c.mapChanged = make(chan struct{})
}

// shardOf returns the shard of a program, or false while it is not known.
func (c *programClient) shardOf(program string) (uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	shard, found := directory.ShardOfProgram(program, c.shards)
	return shard.ID, found
}

// primaryOf returns the address of a shard's primary, or nothing while it is not known.
func (c *programClient) primaryOf(shard uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stores[c.shards[shard].View.Primary].Address
}

// expectedOutage is how long the shard of a program is expected to be out.
func (c *programClient) expectedOutage(program string) time.Duration {
	shard, found := c.shardOf(program)
	if !found {
		return c.outages.remaining(dependencyView)
	}
	return c.outages.remaining(shardDependency(shard))
}

// allShards lists the shards, and whether all of them are known.
func (c *programClient) allShards() ([]uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []uint32
	total := uint32(0)
	for id, shard := range c.shards {
		ids = append(ids, id)
		total = shard.Total
	}
	return ids, len(ids) > 0 && uint32(len(ids)) == total
}

// call has a command carried out by the shard of a program. It retries until the context ends, so the command has to be
// idempotent.
func (c *programClient) call(ctx context.Context, program string, command []byte) (programs.Result, error) {
	for {
		if shard, found := c.shardOf(program); found {
			return c.callShard(ctx, shard, command)
		}
		if !awaitRetry(ctx) {
			return programs.Result{}, codes.StoreUnreachable
		}
	}
}

// callShard has a command carried out by a shard. It retries until the context ends.
func (c *programClient) callShard(ctx context.Context, shard uint32, command []byte) (programs.Result, error) {
	for {
		result, err := c.callPrimary(ctx, shard, command)
		if err == nil || isDecision(err) {
			c.outages.recordSuccess(shardDependency(shard))
			return result, err
		}
		if !errors.Is(ctx.Err(), context.Canceled) { // a client's disconnect says nothing of the shard
			c.outages.recordFailure(shardDependency(shard))
		}
		if !awaitRetry(ctx) {
			return programs.Result{}, codes.StoreUnreachable
		}
	}
}

// callPrimary has the store that leads a shard carry out a command, once.
func (c *programClient) callPrimary(ctx context.Context, shard uint32, command []byte) (programs.Result, error) {
	address := c.primaryOf(shard)
	if address == "" {
		return programs.Result{}, codes.StoreUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	go c.cancelWhenMoved(ctx, cancel, shard, address)
	request := store.ProgramRequest{Shard: shard, Command: command}
	answer, err := c.clients.To(address).Call(ctx, store.KindProgram, request.Encode())
	if err != nil {
		return programs.Result{}, err
	}
	return programs.DecodeResult(answer)
}

// cancelWhenMoved cancels a call once another store leads the shard: the one that was called may be silent for good. It ends with
// the call.
func (c *programClient) cancelWhenMoved(call context.Context, cancel context.CancelFunc, shard uint32, address string) {
	for {
		c.mu.Lock()
		mapChanged := c.mapChanged
		primary := c.stores[c.shards[shard].View.Primary].Address
		c.mu.Unlock()
		if primary != address {
			cancel()
			return
		}
		select {
		case <-call.Done():
			return
		case <-mapChanged:
		}
	}
}

// awaitRetry waits before a further call; it reports false when the context has ended.
func awaitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(storeRetryInterval):
		return true
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

// findTurn looks for a turn in all shards at once, for a program that goes on from a turn of another one. TurnUnknown is returned
// only when every shard has said so.
func (c *programClient) findTurn(ctx context.Context, request string) (programs.Result, error) {
	shards, complete := c.allShards()
	if !complete {
		return programs.Result{}, codes.StoreUnreachable
	}
	type answer struct {
		result programs.Result
		err    error
	}
	answers := make(chan answer, len(shards))
	for _, shard := range shards {
		go func() {
			result, err := c.callShard(ctx, shard, programs.Fetch{Request: request}.Encode())
			answers <- answer{result, err}
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
