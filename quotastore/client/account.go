package client

import (
	"maps"
	"slices"

	"otterseam/quotastore/statemachine"
)

// account is the client's part of a counter. Amounts are in the counter's units.
type account struct {
	ttl        float64 // seconds for which the counter lives
	usedAt     float64 // when it was used last, in seconds
	reported   float64 // in all; the reserved amount is part of it
	reserved   float64 // what of it stands for work in flight
	unreported float64 // admitted, and not reported
	record     unreportedRecord
	former     formerUsage
}

// unreportedRecord is what the store has of an account beside the counter: how much is due in all, without what is reserved.
// The store adds what the reports lack of it if the lease expires.
type unreportedRecord struct {
	state     recordState
	amount    float64 // as sent last, in recordStored
	requestID uint64  // of the request that is pending; 0: none
}

type recordState int

const (
	recordNone      recordState = iota // nothing was recorded under this holder name
	recordStored                       // the amount is recorded
	recordUncertain                    // the last amount may be recorded or not
)

// isDue says that an amount has to be recorded. With nothing unreported that is so only if less is due than was recorded, as
// units were taken off: the store would add the rest. A record that is lower than what was reported adds nothing.
func (r *unreportedRecord) isDue(amount, unreported float64) bool {
	switch {
	case r.requestID != 0:
		return false
	case r.state == recordUncertain:
		return true
	case r.state == recordStored:
		return r.amount != amount && (unreported != 0 || r.amount > amount)
	default:
		return unreported != 0
	}
}

// account returns a counter's account, which is used now.
func (c *Client) account(now float64, key string, ttl float64) *account {
	a := c.accounts[key]
	if a == nil {
		a = &account{ttl: ttl}
		c.accounts[key] = a
	}
	a.usedAt = now
	return a
}

// ReportUsage reports an amount to a counter. reserved is what all work in flight stands for, that of the amount included; ttl
// is for how long the counter lives, in seconds. It returns the request's ID and by how much the reserved amount grew. It is
// not ok if nothing can be reported now, as it is not known yet what was reported under the former holder name.
func (c *Client) ReportUsage(now float64, key string, amount, reserved, ttl float64) (id uint64, newlyReserved float64, ok bool) {
	a := c.account(now, key, ttl)
	if a.former.isOpen() {
		return 0, 0, false
	}
	newlyReserved = reserved - a.reserved
	a.reported, a.reserved = a.reported+amount, reserved
	id = c.request(reportUsage, key, statemachine.Command{
		Kind:     statemachine.ReportUsage,
		Key:      key,
		Amount:   a.reported,
		Reserved: a.reserved,
		Version:  c.nextVersion(),
		TTL:      ttl,
	})
	return id, newlyReserved, true
}

// RetractUsage takes back a report of an amount, which is unreported once more and will be reported again. What it newly
// reserved stays reported if keepReserved.
func (c *Client) RetractUsage(key string, amount, newlyReserved float64, keepReserved bool) {
	a := c.accounts[key]
	if a == nil {
		return
	}
	if keepReserved {
		a.reported -= amount - newlyReserved
		return
	}
	a.reported, a.reserved = a.reported-amount, a.reserved-newlyReserved
}

// SetUnreported sets how much was admitted for a counter and is not reported.
func (c *Client) SetUnreported(now float64, key string, units, ttl float64) {
	c.account(now, key, ttl).unreported = units
}

// ClearUnreported sets all unreported amounts to zero. It is called before SetUnreported is called for each that is not.
func (c *Client) ClearUnreported() {
	for _, a := range c.accounts {
		a.unreported = 0
	}
}

// recordAccounts requests what has to be recorded of unreported usage, and forgets accounts that are no longer used.
func (c *Client) recordAccounts(now float64) {
	for _, key := range c.accountKeys() {
		a := c.accounts[key]
		if a.former.isOpen() {
			if a.former.queries == 0 { // a query failed, or the stream was lost
				c.queryFormerUsage(key, a)
			}
			continue
		}
		if now-a.usedAt > accountTTL && a.unreported == 0 {
			delete(c.accounts, key)
			continue
		}
		amount := a.reported - a.reserved + a.unreported
		if !a.record.isDue(amount, a.unreported) {
			continue
		}
		a.record.requestID = c.request(recordUnreported, key, statemachine.Command{
			Kind:    statemachine.RecordUnreported,
			Key:     key,
			Amount:  amount,
			Version: c.nextVersion(),
			TTL:     a.ttl,
		})
	}
}

func (c *Client) accountKeys() []string { return slices.Sorted(maps.Keys(c.accounts)) }

// unreportedRecorded takes the result of a record.
func (c *Client) unreportedRecorded(pending *pendingRequest, id uint64, done bool) {
	a := c.accounts[pending.key]
	if a == nil || a.record.requestID != id {
		return
	}
	a.record = unreportedRecord{state: recordStored, amount: pending.command.Amount}
	if !done {
		a.record.state = recordUncertain
	}
}

// recordLost says that the result of a record will not be known: also the first one may have been stored.
func (c *Client) recordLost(pending *pendingRequest, id uint64) {
	a := c.accounts[pending.key]
	if a == nil || a.record.requestID != id {
		return
	}
	a.record.requestID = 0
	a.record.state = recordUncertain
}
