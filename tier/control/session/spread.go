package session

import (
	"cmp"
	"slices"

	"otterseam/tier/consensus"
)

const (
	// maxSurplusRatio is by how much the hosts of a control process may exceed the mean, relative to the mean, before some are moved.
	maxSurplusRatio = 0.2
	// movePause is the minimum time between two moves from the same control process, in milliseconds. Hosts that move are counted at
	// the other process only with their next heartbeat.
	movePause = 3000
)

// Move is a number of hosts that are to send their heartbeats to the control process Target instead.
type Move struct {
	Target consensus.Member
	Hosts  int // 0 if no hosts are to move
}

// PlanMove plans a move of hosts from the control process holder to another one, so that the hosts are balanced again after a failover.
// No hosts are moved before this primary has a heartbeat of every host.
func (s *Sessions) PlanMove(holder uint64) Move {
	live := s.LiveControls()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, complete := s.hosts.CountByHolder()
	now := s.now()
	if last, hasMoved := s.lastMoveAt[holder]; !complete || (hasMoved && now-last < movePause) {
		return Move{}
	}
	move := planMove(counts, live, holder)
	if move.Hosts > 0 {
		s.lastMoveAt[holder] = now
	}
	return move
}

// planMove plans to move half of a control process's surplus above the mean to the live one with the fewest hosts.
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
	if surplus <= maxSurplusRatio*mean || surplus < 1 {
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
