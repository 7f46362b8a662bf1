package session

import (
	"cmp"
	"slices"

	"otterseam/tier/consensus"
)

const (
	// surplusShare is by how much more than the mean a control process may have of the hosts before some are asked to move.
	surplusShare = 0.2
	// movePause is how long a control process is not asked to move hosts again, in milliseconds. Hosts that move are counted at
	// the other process with their next heartbeat.
	movePause = 3000
)

// Move is a number of hosts that are to send their heartbeats to another control process.
type Move struct {
	Target consensus.Member
	Hosts  int // 0: none
}

// PlanMove plans which hosts a control process should hand to another, so that all carry like numbers again after a failover. There is
// nothing to move as long as some hosts have not been heard.
func (s *Sessions) PlanMove(holder uint64) Move {
	live := s.LiveControls()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, complete := s.hosts.CountByHolder()
	now := s.now()
	if last, moved := s.movedAt[holder]; !complete || (moved && now-last < movePause) {
		return Move{}
	}
	move := planMove(counts, live, holder)
	if move.Hosts > 0 {
		s.movedAt[holder] = now
	}
	return move
}

// planMove hands half of what a control process has beyond the mean to the live one that has the fewest.
func planMove(counts map[uint64]int, live []consensus.Member, holder uint64) Move {
	total := 0
	for _, count := range counts {
		total += count
	}
	if len(live) < 2 {
		return Move{}
	}
	mean := float64(total) / float64(len(live))
	surplus := float64(counts[holder]) - mean
	if surplus <= surplusShare*mean || surplus < 1 {
		return Move{}
	}
	target := slices.MinFunc(live, func(a, b consensus.Member) int {
		return cmp.Or(cmp.Compare(counts[a.ID], counts[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	hosts := min(int(surplus/2+0.5), int(mean-float64(counts[target.ID])+0.5))
	if target.ID == holder || hosts <= 0 {
		return Move{}
	}
	return Move{Target: target, Hosts: hosts}
}
