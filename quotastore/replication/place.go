package replication

// This file owns where things lie: which group holds a name, and which keepers should hold a group. It must never depend on
// who is asked: all keepers with the same list come to the same answer.

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is a keeper as the operator's list has it; its number is its place there.
type Peer struct {
	Name     string
	Zone     string // "": none is known
	Draining bool   // it is to hold nothing any more
}

// GroupOf is the group that holds a name.
func GroupOf(name string, groups int) int {
	return int(xxhash.Sum64String(name) % uint64(groups))
}

// rank puts keepers in a group's own order, so that one that comes or goes moves its part only.
func rank(group int, peers []Peer) []int {
	type at struct {
		number int
		weight uint64
	}
	all := make([]at, len(peers))
	for i, p := range peers {
		d := xxhash.New()
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], uint64(group))
		d.Write(b[:])
		d.WriteString(p.Name)
		all[i] = at{i, d.Sum64()}
	}
	slices.SortFunc(all, func(a, b at) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.number, b.number))
	})
	order := make([]int, len(all))
	for i, a := range all {
		order[i] = a.number
	}
	return order
}

// Choose gives the keepers that should hold a group: the first of its order that can, from different zones as far as there
// are zones enough.
func PlaceReplicas(group int, peers []Peer, copies int, can func(number int) bool) []int {
	order := rank(group, peers)
	var chosen []int
	zones := map[string]bool{}
	for _, fresh := range []bool{true, false} {
		for _, n := range order {
			if len(chosen) >= copies || !can(n) || slices.Contains(chosen, n) || fresh && zones[peers[n].Zone] {
				continue
			}
			chosen = append(chosen, n)
			if peers[n].Zone != "" {
				zones[peers[n].Zone] = true
			}
		}
	}
	return chosen
}
