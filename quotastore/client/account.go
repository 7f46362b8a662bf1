package client

import (
	"maps"
	"slices"

	"otterseam/quotastore/statemachine"
)

// account is the client's part of a counter. Amounts are in the counter's units.
type account struct {
	ttl        float64 // time to live of the counter, in seconds
	usedAt     float64 // time of the last use, in seconds
	reported   float64 // total of all reports, including the reserved amount
	reserved   float64 // the part of reported that stands for work in flight
	unreported float64 // admitted and not reported
	record     unreportedRecord
	former     formerUsage
}

// unreportedRecord is the state of the record that the store keeps of an account separately from the counter: the total usage,
// reported or not, without the reserved amount. If the lease expires, the store adds to the counter by how much the record
// exceeds the reports.
type unreportedRecord struct {
	state     recordState
	amount    float64 // as last sent, in state recordStored
	requestID uint64  // of the pending request; 0: none
}

type recordState int

const (
	recordNone      recordState = iota // no record was sent under this holder name
	recordStored                       // the store has the amount
	recordUncertain                    // the result of the last record is unknown
)

// isDue reports whether an amount has to be recorded. If nothing is unreported, a stored record only needs an update when it is
// higher than the amount, because units were taken back: the store would add the difference when the lease expires. A record that
// is lower than the reports adds nothing.
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

// account returns the account of a counter and sets the time of its last use. If there is none it creates one.
func (c *Client) account(now float64, key string, ttl float64) *account {
	a := c.accounts[key]
	if a == nil {
		a = &account{ttl: ttl}
		c.accounts[key] = a
	}
	a.usedAt = now
	return a
}

// ReportUsage reports an amount to a counter. reserved is the amount that all work in flight stands for, including the part of it
// in amount. ttl is the time to live of the counter, in seconds. ReportUsage returns the ID of the request and the increase of the
// reserved amount. ok is false if nothing can be reported now, because the usage reported under the former holder name is not
// known yet.
func (c *Client) ReportUsage(now float64, key string, amount, reserved, ttl float64) (id uint64, newlyReserved float64, ok bool) {
	a := c.account(now, key, ttl)
	if a.former.isPending() {
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

// RetractUsage undoes a report of an amount in the client's state. The amount counts as unreported again and a later report will
// include it. If keepReserved is set, the amount that the report newly reserved stays reported.
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

// SetUnreported sets the amount that was admitted for a counter and is not reported.
func (c *Client) SetUnreported(now float64, key string, units, ttl float64) {
	c.account(now, key, ttl).unreported = units
}

// ClearUnreported sets all unreported amounts to zero. The caller then calls SetUnreported for each amount that is not zero.
func (c *Client) ClearUnreported() {
	for _, a := range c.accounts {
		a.unreported = 0
	}
}

// recordAccounts queues a record for each account whose record is due, repeats failed queries of former usage, and deletes accounts
// that are no longer used.
func (c *Client) recordAccounts(now float64) {
	for _, key := range c.accountKeys() {
		a := c.accounts[key]
		if a.former.isPending() {
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

// handleRecordResult processes the response to a record.
func (c *Client) handleRecordResult(pending *pendingRequest, id uint64, done bool) {
	a := c.accounts[pending.key]
	if a == nil || a.record.requestID != id {
		return
	}
	a.record = unreportedRecord{state: recordStored, amount: pending.command.Amount}
	if !done {
		a.record.state = recordUncertain
	}
}

// handleLostRecord marks a record as uncertain after its response was lost. Even if it is the first record it may have been stored.
func (c *Client) handleLostRecord(pending *pendingRequest, id uint64) {
	a := c.accounts[pending.key]
	if a == nil || a.record.requestID != id {
		return
	}
	a.record.requestID = 0
	a.record.state = recordUncertain
}
