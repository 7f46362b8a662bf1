// Package placement decides which store machines hold which shards: where replicas are placed, who leads and which replicas
// may be dropped from an in-sync set. It is pure: the state of the machines and the time go in, the next view comes out.
package placement

import (
	"hash/crc32"
	"slices"
	"sort"
	"strconv"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/replica"
)

// ShardCount is how many shards an installation is founded with.
const ShardCount = 24

// Machine is a store machine as control sees it now.
type Machine struct {
	Store       directory.Store
	Alive       bool // its session holds
	Unconfirmed bool // it counts as alive only because this primary is new: it has not been heard yet
	Away        bool // silent for so long that its replicas are placed elsewhere
	Draining    bool // it is about to stop: it leads nothing
	Retiring    bool // it is to be emptied
}

// isConfirmed tells whether the machine's own heartbeats hold its session.
func (m Machine) isConfirmed() bool { return m.Alive && !m.Unconfirmed }

// Cluster is what placement decides from.
type Cluster struct {
	Machines map[uint64]Machine
	Tolerate int // machines whose loss at once has to be borne
}

// ReplicationFactor is how many replicas a shard has where there are enough machines: after the loss of as many as are tolerated, one
// more than those is left, so that none has to be taken out of the in-sync set below that.
func (c Cluster) ReplicationFactor() int { return 2*c.Tolerate + 1 }

// floor is how many replicas stay in the in-sync set although their machine is silent: below the copies that an acknowledgement
// needs, nothing would be gained by dropping one, and one that could lead would be lost.
func (c Cluster) floor(view replica.View) int {
	return max(view.MinInSync, min(c.ReplicationFactor(), len(view.Replicas))-c.Tolerate)
}

// DiskLost tells whether a machine's disk is provably lost: the same machine is heard at the same address with another identity,
// which is drawn only on an empty disk, and the former identity is not heard. Another machine at the address proves nothing. That
// a new primary gives the former identity the benefit of the doubt is no sign of it.
func (c Cluster) DiskLost(id uint64) bool {
	lost, known := c.Machines[id]
	if !known || lost.isConfirmed() {
		return false
	}
	for other, machine := range c.Machines {
		if other != id && machine.isConfirmed() && machine.Store.Address == lost.Store.Address && machine.Store.Node == lost.Store.Node {
			return true
		}
	}
	return false
}

// Place places a new shard. It reports false while too few machines are alive.
func (c Cluster) Place(id uint32) (directory.Shard, bool) {
	desired := c.Desired(id)
	if len(desired) <= c.Tolerate {
		return directory.Shard{}, false
	}
	for _, each := range desired {
		if !c.Machines[each].Alive {
			return directory.Shard{}, false
		}
	}
	primary := c.Machines[desired[0]].Store
	view := replica.View{
		Epoch: 1, Primary: primary.Identity, InSync: desired, Replicas: desired, MinInSync: replica.MinInSync(c.Tolerate, len(desired)),
	}
	return directory.Shard{ID: id, Total: ShardCount, View: view, PrimaryIncarnation: primary.Incarnation}, true
}

// candidate is a machine that could hold a shard, with its weight for it.
type candidate struct {
	store  directory.Store
	weight uint32
}

// Desired lists the machines that should hold a shard, the preferred primary first: by rendezvous hashing, each zone once
// before any zone twice.
func (c Cluster) Desired(shard uint32) []uint64 {
	var candidates []candidate
	for _, machine := range c.Machines {
		if !machine.Retiring && !machine.Away {
			candidates = append(candidates, candidate{machine.Store, weight(shard, machine.Store)})
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].weight != candidates[j].weight {
			return candidates[i].weight > candidates[j].weight
		}
		return candidates[i].store.Identity < candidates[j].store.Identity
	})
	want := min(c.ReplicationFactor(), len(candidates))
	var chosen []uint64
	for perZone := 1; len(chosen) < want; perZone++ {
		chosen = spread(candidates, perZone, want)
	}
	return chosen
}

// spread takes candidates in order, so many from each zone at most.
func spread(candidates []candidate, perZone, want int) []uint64 {
	used := map[string]int{}
	var chosen []uint64
	for _, each := range candidates {
		if len(chosen) < want && used[each.store.Zone] < perZone {
			used[each.store.Zone]++
			chosen = append(chosen, each.store.Identity)
		}
	}
	return chosen
}

func weight(shard uint32, store directory.Store) uint32 {
	key := strconv.FormatUint(uint64(shard), 10) + "/" + store.Node + "/" + strconv.FormatUint(store.Identity, 16)
	return mix(crc32.ChecksumIEEE([]byte(key)))
}

// mix spreads the bits of a checksum, which alone is linear in its input.
func mix(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}

// Next returns the shard as it should become, and whether it differs. At most one step of a move is taken at a time.
func (c Cluster) Next(shard directory.Shard) (directory.Shard, bool) {
	desired := c.Desired(shard.ID)
	view := shard.View
	next := view
	next.InSync = c.remaining(view)
	if len(next.InSync) == 0 {
		return shard, false
	}
	next.Replicas = c.replicas(next, desired)
	next.InSync = onlyIn(next.InSync, next.Replicas)
	primary := c.primary(shard, next, desired)
	if primary == 0 {
		return shard, false
	}
	next.Primary = primary
	boot := c.Machines[primary].Store.Incarnation
	if next.Primary == view.Primary && boot == shard.PrimaryIncarnation && same(next.InSync, view.InSync) && same(next.Replicas, view.Replicas) {
		return shard, false
	}
	next.Epoch = view.Epoch + 1
	return directory.Shard{ID: shard.ID, Total: shard.Total, View: next, PrimaryIncarnation: boot}, true
}

// remaining is the in-sync set without replicas whose disk is gone and, down to the floor, without silent ones.
func (c Cluster) remaining(view replica.View) []uint64 {
	var known []uint64
	for _, id := range view.InSync {
		if _, exists := c.Machines[id]; exists {
			known = append(known, id)
		}
	}
	if c.silent(known) > c.Tolerate {
		return known // all were stopped, or this process cannot hear; whoever comes back first must not be left alone
	}
	floor := c.floor(view)
	rest := known
	for _, id := range known {
		if !c.Machines[id].Alive && len(rest) > floor {
			rest = consensus.Without(rest, id)
		}
	}
	return rest
}

// silent counts the replicas whose session does not hold.
func (c Cluster) silent(ids []uint64) int {
	count := 0
	for _, id := range ids {
		if !c.Machines[id].Alive {
			count++
		}
	}
	return count
}

// replicas adds machines that should hold the shard, and removes others once all that should are in sync.
func (c Cluster) replicas(view replica.View, desired []uint64) []uint64 {
	var replicas []uint64
	for _, id := range view.Replicas {
		_, exists := c.Machines[id]
		if exists && (slices.Contains(desired, id) || !allIn(view.InSync, desired) || id == view.Primary) {
			replicas = append(replicas, id)
		}
	}
	for _, id := range desired {
		if !slices.Contains(replicas, id) && c.Machines[id].Alive {
			replicas = append(replicas, id)
		}
	}
	return replicas
}

func onlyIn(ids, allowed []uint64) []uint64 {
	var rest []uint64
	for _, id := range ids {
		if slices.Contains(allowed, id) {
			rest = append(rest, id)
		}
	}
	return rest
}

func allIn(set, wanted []uint64) bool {
	for _, id := range wanted {
		if !slices.Contains(set, id) {
			return false
		}
	}
	return true
}

// primary chooses who leads: the present primary while it can, else an in-sync replica that is alive.
func (c Cluster) primary(shard directory.Shard, next replica.View, desired []uint64) uint64 {
	present := c.Machines[next.Primary]
	moved := !slices.Contains(desired, next.Primary) && allIn(next.InSync, desired)
	fits := slices.Contains(next.InSync, next.Primary) && present.Alive && present.Store.Incarnation == shard.PrimaryIncarnation
	if fits && !moved && !present.Draining {
		return next.Primary
	}
	best := uint64(0)
	bestScore := -1
	for _, id := range next.InSync {
		machine := c.Machines[id]
		if !machine.Alive {
			continue
		}
		score := 0
		if !machine.Draining {
			score += 4
		}
		if slices.Contains(desired, id) {
			score += 2
		}
		if len(desired) > 0 && desired[0] == id {
			score++
		}
		if score > bestScore {
			best = id
			bestScore = score
		}
	}
	if fits && (best == 0 || c.Machines[best].Draining) {
		return next.Primary // one that leaves too would only hand it on
	}
	return best
}

// ChangeInSync takes a replica into a shard's in-sync set, or out of it, as the shard's primary asks. It reports false if it may not.
func (c Cluster) ChangeInSync(shard directory.Shard, id uint64, admit bool) (directory.Shard, bool) {
	next := shard
	next.View.Epoch++
	next.View.InSync = consensus.Without(shard.View.InSync, id)
	if !admit {
		return next, c.MayDrop(shard.View, id)
	}
	next.View.InSync = append(next.View.InSync, id)
	return next, slices.Contains(shard.View.Replicas, id) && c.Machines[id].Alive
}

// MayDrop tells whether a replica may be taken out of the in-sync set because its primary does not hear it.
func (c Cluster) MayDrop(view replica.View, id uint64) bool {
	if !slices.Contains(view.InSync, id) {
		return true
	}
	return len(view.InSync)-1 >= max(1, c.floor(view))
}

// IsEmpty tells whether a machine holds no shard any more.
func IsEmpty(shards map[uint32]directory.Shard, identity uint64) bool {
	for _, shard := range shards {
		if slices.Contains(shard.View.Replicas, identity) || slices.Contains(shard.View.InSync, identity) {
			return false
		}
	}
	return true
}

func same(a, b []uint64) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
