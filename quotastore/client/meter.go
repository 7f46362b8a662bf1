package client

import (
	"fmt"
	"maps"
	"slices"

	"otterseam/quotastore/statemachine"
)

// meters are what customers have used within an epoch, in units. Customers are forgotten with their epoch.
type meters struct {
	customers map[string]*meter
	epoch     int
	epochAt   float64 // when it began, in seconds
}

// meter is one customer's.
type meter struct {
	total     float64 // of the epoch
	recorded  float64 // what of it the store has
	requestID uint64  // of the request that is pending; 0: none
}

// MeterUsage counts units that a customer has used.
func (c *Client) MeterUsage(customer string, units float64) {
	if units <= 0 {
		return
	}
	m := c.meters.customers[customer]
	if m == nil {
		m = &meter{}
		c.meters.customers[customer] = m
	}
	m.total += units
}

// recordMeters requests what has to be recorded of metered usage, and begins an epoch once the last one is recorded.
func (c *Client) recordMeters(now float64) {
	if now-c.meters.epochAt > epochLength && c.meters.allRecorded() {
		c.meters.epoch, c.meters.epochAt = c.meters.epoch+1, now
		clear(c.meters.customers)
	}
	for _, customer := range slices.Sorted(maps.Keys(c.meters.customers)) {
		m := c.meters.customers[customer]
		if m.requestID == 0 && m.recorded < m.total {
			m.requestID = c.request(meterUsage, customer, statemachine.Command{
				Kind:   statemachine.MeterUsage,
				Key:    customer,
				Amount: m.total,
				Holder: fmt.Sprintf("%s/%d", c.name, c.meters.epoch),
			})
		}
	}
}

func (m *meters) allRecorded() bool {
	for _, customer := range m.customers {
		if customer.recorded < customer.total {
			return false
		}
	}
	return true
}

// recorded takes the result of a record.
func (m *meters) recorded(pending *pendingRequest, id uint64, done bool) {
	customer := m.customers[pending.key]
	if customer == nil || customer.requestID != id {
		return
	}
	customer.requestID = 0
	if done {
		customer.recorded = max(customer.recorded, pending.command.Amount)
	}
}

// lost says that the result of a record will not be known: it is sent again.
func (m *meters) lost(pending *pendingRequest, id uint64) { m.recorded(pending, id, false) }
