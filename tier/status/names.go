package status

import "fmt"

// NameFunc tells how operators call a replica.
type NameFunc func(id uint64) string

// ReplicaNames tells how operators call the replicas of a status: by the machine's name, or else by the identity.
func (s Status) ReplicaNames() NameFunc {
	known := map[uint64]string{}
	for _, store := range s.Stores {
		known[store.Identity] = store.Node
	}
	for _, member := range append(s.Control.Voters(), s.Control.Learners...) {
		known[member.ID] = member.Node
		if member.Node == "" {
			known[member.ID] = member.Address
		}
	}
	return func(id uint64) string {
		if name := known[id]; name != "" {
			return name
		}
		return fmt.Sprintf("%x", id)
	}
}
