package client

import (
	"fmt"
	"maps"
	"slices"

	"otterseam/quotastore/statemachine"
)

// meters holds the usage of customers within an epoch, in units. Customers are deleted at the end of the epoch.
type meters struct {
	customers map[string]*meter
	epoch     int
	epochAt   float64 // start of the epoch, in seconds
}

// meter is the usage of one customer.
type meter struct {
	total     float64 // usage within the epoch
	recorded  float64 // the part of total that the store has
	requestID uint64  // of the pending request; 0: none
}

// MeterUsage adds units to the usage of a customer.
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

// recordMeters queues a record of each meter that has increased. It begins a new epoch when the present one is over and all of its
// usage is recorded.
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

// handleResult processes the response to a record.
func (m *meters) handleResult(pending *pendingRequest, id uint64, done bool) {
	customer := m.customers[pending.key]
	if customer == nil || customer.requestID != id {
		return
	}
	customer.requestID = 0
	if done {
		customer.recorded = max(customer.recorded, pending.command.Amount)
	}
}

// handleLoss has a record sent again after its response was lost.
func (m *meters) handleLoss(pending *pendingRequest, id uint64) { m.handleResult(pending, id, false) }
