package metrics

import "slices"

// Share holds the billed value requested within the quotas, its outcomes, and the value sent to hosts within and beyond the quotas.
type Share struct {
	Requested            float64 `json:"asked"`       // requested within the quotas
	Served               float64 `json:"served"`      // answered within the latency objective
	Late                 float64 `json:"late"`        // answered after the latency objective
	ThrottledWithRoom    float64 `json:"with_room"`   // throttled although the quota had room at the last time
	ThrottledWithoutRoom float64 `json:"no_room"`     // throttled, and the quota had no room
	Errored              float64 `json:"errored"`     // answered with an error
	Lost                 float64 `json:"lost"`        // unanswered, broken, or accepted by no api gateway
	BeyondQuota          float64 `json:"beyond"`      // sent to hosts beyond a quota
	BeyondCost           float64 `json:"beyond_cost"` // cost of the value beyond the quotas
	NetValue             float64 `json:"worth"`       // served, plus late at its reduced value, less BeyondCost
	FirstSent            float64 `json:"sent"`        // value of invocations that reached a host for the first time
	ServedOfSent         float64 `json:"within"`      // served in time and sent within the quotas, whether requested within them or not
}

// Add adds another share to s.
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

// Fraction returns a value as a fraction of the value requested within the quotas. It returns 0 if nothing was requested.
func (s Share) Fraction(value float64) float64 {
	if s.Requested == 0 {
		return 0
	}
	return value / s.Requested
}

// SortedNames returns the keys of a map of shares in sorted order.
func SortedNames(shares map[string]*Share) []string {
	var names []string
	for name := range shares {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// shareOf returns the share under a name and creates it if there is none.
func shareOf(shares map[string]*Share, name string) *Share {
	if shares[name] == nil {
		shares[name] = &Share{}
	}
	return shares[name]
}
