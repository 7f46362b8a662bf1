package statemachine

const (
	// minCounterTTL and maxCounterTTL bound the time to live of a counter, in seconds, as in the counter protocol.
	minCounterTTL = 0.001
	maxCounterTTL = 60.0
)

// counter is the total of a key, and the parts of the total whose holders are known.
type counter struct {
	Total     float64             `cbor:"1,keyasint"`
	ExpiresAt float64             `cbor:"2,keyasint"`
	ByHolder  map[string]*account `cbor:"3,keyasint,omitempty"`
}

// account is one holder's part of a counter.
type account struct {
	Reported  float64 `cbor:"1,keyasint"`           // what the holder has added in total
	Reserved  float64 `cbor:"2,keyasint,omitempty"` // the part of Reported that is released when the lease expires
	Version   uint64  `cbor:"3,keyasint"`           // of the newest report
	Recovered bool    `cbor:"4,keyasint,omitempty"` // the unreported usage was added after the lease expired
}

// counter returns the counter of a key. If there is none it creates one, with a total of zero and the given time to live.
func (s *State) counter(key string, ttl float64) *counter {
	c := s.Counters[key]
	if c == nil || c.ExpiresAt <= s.Clock {
		c = &counter{ExpiresAt: s.expiry(ttl, minCounterTTL, maxCounterTTL)}
		s.Counters[key] = c
	}
	return c
}

// expiry returns the time at which an entry with a time to live expires, after bounding the time to live.
func (s *State) expiry(ttl, low, high float64) float64 { return s.Clock + min(max(ttl, low), high) }

// account returns a holder's account. If there is none it creates an empty one.
func (c *counter) account(holder string) *account {
	if c.ByHolder == nil {
		c.ByHolder = map[string]*account{}
	}
	a := c.ByHolder[holder]
	if a == nil {
		a = &account{}
		c.ByHolder[holder] = a
	}
	return a
}

func (s *State) add(c *Command) Reply {
	if c.Key == "" {
		return Reply{Code: Invalid}
	}
	counter := s.counter(c.Key, c.TTL)
	counter.Total += c.Amount
	return Reply{Total: counter.Total}
}

// reportUsage sets a holder's account to the reported total. A report that is sent again because its reply was lost changes
// nothing.
func (s *State) reportUsage(c *Command) Reply {
	if c.Key == "" {
		return Reply{Code: Invalid}
	}
	if !s.extendLease(c.Holder, implicitLeaseTTL) {
		r := Reply{Code: LeaseExpired}
		if counter := s.Counters[c.Key]; counter != nil && counter.ExpiresAt > s.Clock {
			r.Total = counter.Total
			r.HolderTotal = s.HolderTotal(c.Key, c.Holder)
		}
		return r
	}
	counter := s.counter(c.Key, c.TTL)
	account := counter.account(c.Holder)
	if c.Version > account.Version {
		counter.Total += c.Amount - account.Reported
		account.Reported = c.Amount
		account.Reserved = c.Reserved
		account.Version = c.Version
	}
	return Reply{Total: counter.Total, HolderTotal: account.Reported}
}

// Total returns the total of a counter, and whether the counter exists.
func (s *State) Total(key string) (float64, bool) {
	c := s.Counters[key]
	if c == nil || c.ExpiresAt <= s.Clock {
		return 0, false
	}
	return c.Total, true
}

// HolderTotal returns what a holder has added to a counter in total.
func (s *State) HolderTotal(key, holder string) float64 {
	if c := s.Counters[key]; c != nil && c.ByHolder[holder] != nil {
		return c.ByHolder[holder].Reported
	}
	return 0
}

// CounterCount returns the number of counters.
func (s *State) CounterCount() int { return len(s.Counters) }
