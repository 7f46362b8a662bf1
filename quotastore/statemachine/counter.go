package statemachine

const (
	// minCounterTTL and maxCounterTTL bound the time to live of a counter, in seconds, as the counter's protocol says.
	minCounterTTL = 0.001
	maxCounterTTL = 60.0
)

// counter is the total of a key, and what of it is whose as far as that is known.
type counter struct {
	Total     float64             `cbor:"1,keyasint"`
	ExpiresAt float64             `cbor:"2,keyasint"`
	ByHolder  map[string]*account `cbor:"3,keyasint,omitempty"`
}

// account is a holder's part of a counter.
type account struct {
	Reported  float64 `cbor:"1,keyasint"`           // what the holder has added in total
	Reserved  float64 `cbor:"2,keyasint,omitempty"` // the part of it that is given back when the lease expires
	Version   uint64  `cbor:"3,keyasint"`           // of the newest report
	Recovered bool    `cbor:"4,keyasint,omitempty"` // unreported usage was added after the lease had expired
}

// counter returns the counter of a key; a new one begins at zero and lives as long as the command that makes it says.
func (s *State) counter(key string, ttl float64) *counter {
	c := s.Counters[key]
	if c == nil || c.ExpiresAt <= s.Clock {
		c = &counter{ExpiresAt: s.expiry(ttl, minCounterTTL, maxCounterTTL)}
		s.Counters[key] = c
	}
	return c
}

// expiry is when something with a time to live expires that may be bounded.
func (s *State) expiry(ttl, least, most float64) float64 { return s.Clock + min(max(ttl, least), most) }

// account returns a holder's account, which begins at zero.
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

// reportUsage brings a holder's account to the total that it reports. A report that was applied and whose reply was lost changes
// nothing when it comes again.
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

// Total returns what a counter stands at, and whether it is known.
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

// CounterCount returns how many counters are held.
func (s *State) CounterCount() int { return len(s.Counters) }
