package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"otterseam/internal/bytebudget"
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
	// A command of bytebudget.LargeBytes and more gets more time, waits longer before it is sent again and is sent with few others, so that
	// such commands don't fill the memory of the stores.
	largeCallTimeout   = 1500 * time.Millisecond
	largeRetryInterval = 250 * time.Millisecond
)

// ticketSource issues the tickets of the turns that this process begins.
type ticketSource struct {
	gateway uint64 // identifies the process
	last    atomic.Uint64
}

func newTicketSource() *ticketSource { return &ticketSource{gateway: rand.Uint64() | 1} }

// next returns a new ticket.
func (s *ticketSource) next() programs.Ticket {
	return programs.Ticket{Gateway: s.gateway, Number: s.last.Add(1)}
}

// programClient sends commands to the primaries of the shards of programs.
type programClient struct {
	clients *rpc.Clients
	view    *feed.View
	tickets *ticketSource
	outages *outageTracker
	large   *bytebudget.Budget // of the large commands that are being sent

	mu              sync.Mutex // guards the shard map below
	shards          map[uint32]directory.Shard
	stores          map[uint64]directory.Store
	shardMapChanged chan struct{} // closed and replaced when the shard map changes
}

// newProgramClient returns a client. The large commands that it sends at the same time, and the large answers that it receives, stay
// within a number of bytes.
func newProgramClient(view *feed.View, outages *outageTracker, largeBytes int64) *programClient {
	return &programClient{
		clients: rpc.NewClientsWithin(nil, bytebudget.New(largeBytes)), view: view, tickets: newTicketSource(), outages: outages,
		large: bytebudget.New(largeBytes), shardMapChanged: make(chan struct{}),
	}
}

// update applies changes of the shard map in the view.
func (c *programClient) update(items []feed.Item) {
	for _, item := range items {
		if item.Section == feed.SectionShard || item.Section == feed.SectionStore {
			c.setShardMap(directory.Shards(c.view), directory.Stores(c.view))
			return
		}
	}
}

// setShardMap replaces the shard map.
func (c *programClient) setShardMap(shards map[uint32]directory.Shard, stores map[uint64]directory.Store) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards = shards
	c.stores = stores
	close(c.shardMapChanged)
	c.shardMapChanged = make(chan struct{})
}

// shardOf returns the shard of a program, or false while it is unknown.
func (c *programClient) shardOf(program string) (uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	shard, found := directory.ShardOfProgram(program, c.shards)
	return shard.ID, found
}

// primaryAddress returns the address of a shard's primary, or an empty string while it is unknown.
func (c *programClient) primaryAddress(shard uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stores[c.shards[shard].View.Primary].Address
}

// expectedOutage returns how much longer the shard of a program is expected to be unavailable.
func (c *programClient) expectedOutage(program string) time.Duration {
	shard, found := c.shardOf(program)
	if !found {
		return c.outages.remaining(dependencyView)
	}
	return c.outages.remaining(shardDependency(shard))
}

// allShards returns the known shards, and whether these are all shards.
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

// call executes a command on the shard of a program. It retries until the context ends, so the command has to be idempotent.
func (c *programClient) call(ctx context.Context, program string, command []byte) (programs.Result, error) {
	for {
		if shard, found := c.shardOf(program); found {
			return c.callShard(ctx, shard, command)
		}
		if !awaitRetry(ctx, storeRetryInterval) {
			return programs.Result{}, codes.StoreUnreachable
		}
	}
}

// callShard executes a command on a shard. It retries until the context ends. The error codes.StoreFull means that no call for the
// command was executed.
func (c *programClient) callShard(ctx context.Context, shard uint32, command []byte) (programs.Result, error) {
	interval := storeRetryInterval
	if len(command) >= bytebudget.LargeBytes {
		interval = largeRetryInterval
	}
	uncertain := false // an earlier call may have been executed
	for {
		result, err := c.callPrimary(ctx, shard, command)
		if errors.Is(err, codes.StoreFull) {
			c.outages.recordSuccess(shardDependency(shard))
			if uncertain {
				return result, codes.StoreUnreachable
			}
			return result, err
		}
		uncertain = uncertain || !errors.Is(err, codes.NotPrimary)
		if err == nil || isDecision(err) {
			c.outages.recordSuccess(shardDependency(shard))
			return result, err
		}
		if !errors.Is(ctx.Err(), context.Canceled) { // a disconnect of the client is not a failure of the shard
			c.outages.recordFailure(shardDependency(shard))
		}
		if !awaitRetry(ctx, interval) {
			return programs.Result{}, codes.StoreUnreachable
		}
	}
}

// callPrimary sends a command once to the primary of a shard.
func (c *programClient) callPrimary(ctx context.Context, shard uint32, command []byte) (programs.Result, error) {
	address := c.primaryAddress(shard)
	if address == "" {
		return programs.Result{}, codes.StoreUnreachable
	}
	release, err := c.large.Acquire(ctx, int64(len(command)))
	if err != nil {
		return programs.Result{}, codes.StoreUnreachable
	}
	defer release()
	timeout := storeCallTimeout
	if len(command) >= bytebudget.LargeBytes {
		timeout = largeCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go c.cancelOnPrimaryChange(ctx, cancel, shard, address)
	request := store.ProgramRequest{Shard: shard, Command: command}
	answer, err := c.clients.To(address).Call(ctx, store.KindProgram, request.Encode())
	if err != nil {
		return programs.Result{}, err
	}
	return programs.DecodeResult(answer)
}

// cancelOnPrimaryChange cancels a call when the shard gets another primary, because the called store may never answer. It returns when
// the call ends.
func (c *programClient) cancelOnPrimaryChange(call context.Context, cancel context.CancelFunc, shard uint32, address string) {
	for {
		c.mu.Lock()
		shardMapChanged := c.shardMapChanged
		primary := c.stores[c.shards[shard].View.Primary].Address
		c.mu.Unlock()
		if primary != address {
			cancel()
			return
		}
		select {
		case <-call.Done():
			return
		case <-shardMapChanged:
		}
	}
}

// awaitRetry waits for the interval between calls. It returns false if the context has ended.
func awaitRetry(ctx context.Context, interval time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(interval):
		return true
	}
}

// isDecision reports whether an error is the result of the command, and not a failure to reach the shard.
func isDecision(err error) bool {
	for _, code := range []codes.Code{codes.BudgetSpent, codes.TurnUnknown, codes.TurnSettled, codes.Malformed} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// findTurn searches all shards concurrently for a turn, so that a turn can continue one of another program. It returns TurnUnknown
// only if every shard has returned it.
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
	failure := error(codes.TurnUnknown)
	for range shards {
		got := <-answers
		if got.err == nil {
			return got.result, nil
		}
		if !errors.Is(got.err, codes.TurnUnknown) {
			failure = codes.StoreUnreachable
		}
	}
	return programs.Result{}, failure
}
