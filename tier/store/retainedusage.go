package store

import (
	"slices"
	"time"

	"otterseam/tier/directory"
	"otterseam/tier/rpc"
)

const (
	// usageInterval is the interval between two reports of the memory that retained turns take.
	usageInterval = 200 * time.Millisecond
	// usageTTL is the time for which a report counts.
	usageTTL = 2 * time.Second
	// reportedShare is the share of the limit from which on a store reports what it holds. Below it, there is room for what its primaries
	// admit by what they hold themselves.
	reportedShare = 2
)

// peerUsage is what another store has reported.
type peerUsage struct {
	bytes     int64
	expiresAt int64 // milliseconds
}

// reportUsage tells the primaries of this store's shards how much it holds, if that is much.
func (s *Server) reportUsage() {
	bytes := s.turns.usage.RetainedBytes() + s.node.UnappliedBytes()
	if bytes < s.turns.limit/reportedShare {
		return
	}
	message := RetainedUsage{Store: s.self.Identity, Bytes: uint64(bytes)}.Encode()
	stores := directory.Stores(s.view)
	for _, primary := range s.primariesOfOwnShards() {
		if address := stores[primary].Address; primary != s.self.Identity && address != "" {
			s.clients.To(address).Send(KindRetainedUsage, message)
		}
	}
}

// primariesOfOwnShards returns the primaries of the shards that this store has replicas of.
func (s *Server) primariesOfOwnShards() []uint64 {
	var primaries []uint64
	for _, shard := range directory.Shards(s.view) {
		if slices.Contains(shard.View.Replicas, s.self.Identity) && !slices.Contains(primaries, shard.View.Primary) {
			primaries = append(primaries, shard.View.Primary)
		}
	}
	return primaries
}

// handleUsage records what another store holds.
func (s *Server) handleUsage(message rpc.Message) {
	usage, err := DecodeRetainedUsage(message.Payload)
	if err != nil {
		return
	}
	s.turns.recordPeer(usage, time.Now().Add(usageTTL).UnixMilli())
}

// recordPeer records what another store holds, until a time in milliseconds.
func (a *turnAdmission) recordPeer(usage RetainedUsage, expiresAt int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers[usage.Store] = peerUsage{int64(usage.Bytes), expiresAt}
}

// setPrimaries sets the number of primaries of the shards that this process has replicas of.
func (a *turnAdmission) setPrimaries(count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.primaries = int64(count)
}
