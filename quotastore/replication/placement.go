package replication

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is a server in the operator's list. The position in the list is the number of the server.
type Peer struct {
	Name     string
	Zone     string // failure domain; "": unknown
	Draining bool   // its replicas are to be moved to other servers
}

// GroupOf returns the group of a key.
func GroupOf(key string, groups int) int {
	return int(xxhash.Sum64String(key) % uint64(groups))
}

// rank returns the numbers of the servers in an order specific to the group (rendezvous hashing). Adding or removing a server moves
// only that server's share of the groups.
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

// PlaceReplicas returns the numbers of the servers that should have a group's replicas: the first in the group's order for which
// canHost returns true, in different zones as far as there are enough zones. The result is the same on all servers with the same list
// and the same results of canHost.
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
