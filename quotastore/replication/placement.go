package replication

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is a server as the operator's list has it; its number is its place there.
type Peer struct {
	Name     string
	Zone     string // failure domain; "": none is known
	Draining bool   // it is to have no replicas any more
}

// GroupOf is the group that holds a key.
func GroupOf(key string, groups int) int {
	return int(xxhash.Sum64String(key) % uint64(groups))
}

// rank puts servers in a group's own order (rendezvous hashing), so that one that comes or goes moves its part only.
func rank(group int, peers []Peer) []int {
	type weighted struct {
		number int
		weight uint64
	}
	all := make([]weighted, len(peers))
	for i, p := range peers {
		text := binary.BigEndian.AppendUint64(nil, uint64(group))
		text = append(text, p.Name...)
		all[i] = weighted{i, xxhash.Sum64(text)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.number, b.number))
	})
	order := make([]int, len(all))
	for i, a := range all {
		order[i] = a.number
	}
	return order
}

// PlaceReplicas returns the numbers of the servers that should have a group's replicas: the first of its order that can, from different
// zones as far as there are zones enough. All servers with the same list come to the same answer.
func PlaceReplicas(group int, peers []Peer, replicas int, canHost func(number int) bool) []int {
	order := rank(group, peers)
	var chosen []int
	zones := map[string]bool{}
	for _, newZonesOnly := range []bool{true, false} {
		for _, number := range order {
			if len(chosen) >= replicas || !canHost(number) || slices.Contains(chosen, number) {
				continue
			}
			zone := peers[number].Zone
			if newZonesOnly && zones[zone] {
				continue
			}
			chosen = append(chosen, number)
			if zone != "" {
				zones[zone] = true
			}
		}
	}
	return chosen
}
