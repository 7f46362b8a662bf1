package statemachine

import (
	"cmp"
	"maps"
	"slices"

	"otterseam/internal/mutation"
)

// metering is the usage that holders have counted for billing, and the part of it that was collected.
type metering struct {
	ByHolder  map[string]map[string]*meter `cbor:"1,keyasint"` // by holder and customer
	Batch     uint64                       `cbor:"2,keyasint"` // number of the last batch
	LastBatch []CustomerUsage              `cbor:"3,keyasint"`
}

// meter is the usage that one holder has counted for one customer.
type meter struct {
	Total       float64 `cbor:"1,keyasint"`
	Collected   float64 `cbor:"3,keyasint"` // the part of Total that was returned in batches
	IncreasedAt float64 `cbor:"4,keyasint"` // when Total last increased, by the group's clock
}

func newMetering() *metering { return &metering{ByHolder: map[string]map[string]*meter{}} }

// meter returns the meter of a holder for a customer. If there is none it creates one at zero.
func (m *metering) meter(holder, customer string) *meter {
	byCustomer := m.ByHolder[holder]
	if byCustomer == nil {
		byCustomer = map[string]*meter{}
		m.ByHolder[holder] = byCustomer
	}
	x := byCustomer[customer]
	if x == nil {
		x = &meter{}
		byCustomer[customer] = x
	}
	return x
}

// meterUsage raises the total that a holder has counted for a customer. The total only increases, so a command that arrives twice,
// late or out of order changes nothing. The usage counts even if the holder's lease has expired.
func (s *State) meterUsage(c *Command) Reply {
	if c.Key == "" || c.Holder == "" || c.Amount < 0 {
		return Reply{Code: Invalid}
	}
	m := s.Metering.meter(c.Holder, c.Key)
	if c.Amount > m.Total {
		m.Total = c.Amount
		m.IncreasedAt = s.Clock
	}
	return Reply{HolderTotal: m.Total}
}

// collectUsage returns a batch of metered usage. A request for the last number returns the same batch again, and a request for the
// next number acknowledges the last batch.
func (s *State) collectUsage(c *Command) Reply {
	last := s.Metering.Batch
	switch {
	case c.Version == last && !mutation.BatchTakenAgain:
		return Reply{Usage: s.Metering.LastBatch, Batch: c.Version}
	case c.Version != last && c.Version != last+1:
		return Reply{Code: Invalid, Batch: last}
	}
	batch := s.Metering.collect(s.Clock)
	s.Metering.Batch = c.Version
	s.Metering.LastBatch = batch
	return Reply{Usage: batch, Batch: c.Version}
}

// collect returns the usage that was not collected yet, in the order of the customers. It deletes meters that have been collected
// and have not increased for expiredLeaseTTL: a holder repeats a total for seconds at most.
func (m *metering) collect(now float64) []CustomerUsage {
	sum := map[string]float64{}
	for _, holder := range slices.Sorted(maps.Keys(m.ByHolder)) {
		byCustomer := m.ByHolder[holder]
		for _, customer := range slices.Sorted(maps.Keys(byCustomer)) {
			x := byCustomer[customer]
			if increase := x.Total - x.Collected; increase > 0 {
				sum[customer] += increase
				x.Collected = x.Total
			} else if x.IncreasedAt+expiredLeaseTTL <= now {
				delete(byCustomer, customer)
			}
		}
	}
	maps.DeleteFunc(m.ByHolder, func(_ string, byCustomer map[string]*meter) bool { return len(byCustomer) == 0 })
	batch := make([]CustomerUsage, 0, len(sum))
	for customer, units := range sum {
		batch = append(batch, CustomerUsage{customer, units})
	}
	slices.SortFunc(batch, func(a, b CustomerUsage) int { return cmp.Compare(a.Customer, b.Customer) })
	return batch
}
