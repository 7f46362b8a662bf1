package status

import (
	"fmt"
	"strings"

	"otterseam/tier/consensus"
	"otterseam/tier/replica"
)

// Protection is how many losses a group bears now, and what keeps it from bearing more.
type Protection struct {
	// ToleratedLosses is how many disks may be lost, one right after the other and without a repair between, with everything acknowledged
	// still there and the group able to go on once copies are made again.
	ToleratedLosses int `json:"bears"`
	// CanAcknowledge tells whether the group has the copies without which it acknowledges nothing.
	CanAcknowledge bool   `json:"acknowledges"`
	LimitedBy      string `json:"why_not_more"`
}

// NameFunc tells how operators call a replica.
type NameFunc func(id uint64) string

// ProtectionOfControl is the protection of the control state. Members that are not in sync count as lost: they may be.
func ProtectionOfControl(record consensus.Record, name NameFunc) Protection {
	if !record.IsBootstrapped() {
		return Protection{LimitedBy: "control is not founded, or nobody answers"}
	}
	var lagging []uint64
	for _, member := range record.Members {
		if !record.IsInSync(member.ID) {
			lagging = append(lagging, member.ID)
		}
	}
	copies := max(0, len(record.InSync)-1)
	votes := spareVotes(record, record.Members)
	if len(record.Previous) > 0 {
		votes = min(votes, spareVotes(record, record.Previous))
	}
	p := Protection{ToleratedLosses: min(copies, votes), CanAcknowledge: len(record.InSync) >= record.MinInSync}
	switch {
	case !p.CanAcknowledge:
		p.ToleratedLosses = 0
		p.LimitedBy = missingCopies(len(record.InSync), record.MinInSync, lagging, name)
	case len(lagging) > 0:
		p.LimitedBy = notInSync(lagging, name)
	case votes <= copies:
		p.LimitedBy = fmt.Sprintf("more than half of %s have to be left", plural(len(record.Members), "member"))
	default:
		p.LimitedBy = onlyCopies(len(record.InSync))
	}
	return p
}

// spareVotes is how many of the members in sync may go before there is no majority of them.
func spareVotes(record consensus.Record, members []consensus.Member) int {
	inSync := 0
	for _, member := range members {
		if record.IsInSync(member.ID) {
			inSync++
		}
	}
	return max(0, inSync-len(members)/2-1)
}

// ProtectionOfShard is the protection of a shard of programs.
func ProtectionOfShard(view replica.View, name NameFunc) Protection {
	var lagging []uint64
	for _, id := range view.Replicas {
		if !view.IsInSync(id) {
			lagging = append(lagging, id)
		}
	}
	p := Protection{ToleratedLosses: view.ToleratedLosses(), CanAcknowledge: view.HasMinInSync()}
	switch {
	case !p.CanAcknowledge:
		p.LimitedBy = missingCopies(len(view.InSync), view.MinInSync, lagging, name)
	case len(lagging) > 0:
		p.LimitedBy = notInSync(lagging, name)
	default:
		p.LimitedBy = onlyCopies(len(view.InSync))
	}
	return p
}

func missingCopies(inSync, wanted int, lagging []uint64, name NameFunc) string {
	text := fmt.Sprintf("%d of the %d copies that an acknowledgement needs: nothing is acknowledged", inSync, wanted)
	if len(lagging) == 0 {
		return text + "; another machine is needed"
	}
	return text + " until " + names(lagging, name) + " caught up"
}

func notInSync(lagging []uint64, name NameFunc) string {
	verb := "is"
	if len(lagging) > 1 {
		verb = "are"
	}
	return names(lagging, name) + " " + verb + " not in sync"
}

func onlyCopies(copies int) string {
	return "all of " + plural(copies, "copy") + " in sync; more need more machines"
}

func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	if strings.HasSuffix(noun, "y") {
		return fmt.Sprintf("%d %sies", count, strings.TrimSuffix(noun, "y"))
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

func names(ids []uint64, name NameFunc) string {
	var all []string
	for _, id := range ids {
		all = append(all, name(id))
	}
	return strings.Join(all, ", ")
}

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

// protect fills in what the groups bear.
func (s *Status) protect() {
	name := s.ReplicaNames()
	s.ControlProtection = ProtectionOfControl(s.Control, name)
	s.ShardProtection = map[uint32]Protection{}
	for _, shard := range s.Shards {
		s.ShardProtection[shard.ID] = ProtectionOfShard(shard.View, name)
	}
}
