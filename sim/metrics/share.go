package metrics

import "slices"

// Share is the billed value that was asked for within the quotas, what became of it, and what else was sent to hosts.
type Share struct {
	Requested            float64 `json:"asked"`       // asked for within the quotas
	Served               float64 `json:"served"`      // of it, answered within the latency objective
	Late                 float64 `json:"late"`        // answered after it
	ThrottledWithRoom    float64 `json:"with_room"`   // throttled, the last time though the quota had room
	ThrottledWithoutRoom float64 `json:"no_room"`     // throttled, and there was none
	Errored              float64 `json:"errored"`     // answered with an error
	Lost                 float64 `json:"lost"`        // unanswered, broken, or no api gateway took it
	BeyondQuota          float64 `json:"beyond"`      // sent to hosts beyond a quota
	BeyondCost           float64 `json:"beyond_cost"` // what that costs
	NetValue             float64 `json:"worth"`       // served, late at its part, less the cost of what was beyond
	FirstSent            float64 `json:"sent"`        // reached a host for the first time
	ServedOfSent         float64 `json:"within"`      // served in time of all that was sent within quotas, asked for within them or not
}

// Add adds another share to it.
func (s *Share) Add(other Share) {
	s.Requested += other.Requested
	s.Served += other.Served
	s.Late += other.Late
	s.ThrottledWithRoom += other.ThrottledWithRoom
	s.ThrottledWithoutRoom += other.ThrottledWithoutRoom
	s.Errored += other.Errored
	s.Lost += other.Lost
	s.BeyondQuota += other.BeyondQuota
	s.BeyondCost += other.BeyondCost
	s.NetValue += other.NetValue
	s.FirstSent += other.FirstSent
	s.ServedOfSent += other.ServedOfSent
}

// Fraction is a value as a part of what was asked for within the quotas; 0 where nothing was.
func (s Share) Fraction(value float64) float64 {
	if s.Requested == 0 {
		return 0
	}
	return value / s.Requested
}

// SortedNames are the keys of a map of shares, in order.
func SortedNames(shares map[string]*Share) []string {
	var names []string
	for name := range shares {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// shareOf is the share under a name, which is made if there is none.
func shareOf(shares map[string]*Share, name string) *Share {
	if shares[name] == nil {
		shares[name] = &Share{}
	}
	return shares[name]
}
