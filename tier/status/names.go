package status

import "fmt"

// NameFunc returns the display name of a replica.
type NameFunc func(id uint64) string

// ReplicaNames returns the display names of the replicas of a status: the name of the machine, or else the address of a member of
// control, or else the replica's identity in hexadecimal.
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
