package client

import (
	"fmt"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// formerUsage is the state of the queries that follow the expiry of a lease. They determine how much of an account the counter has,
// or will have, under the holder name of that lease.
type formerUsage struct {
	holder     string // holder name of the expired lease; "": no query is needed
	unreported float64
	reported   float64
	queries    int // number of queries without a response
}

func (f *formerUsage) isPending() bool { return f.holder != "" }

// loseLease switches to the next holder name after the lease has expired in the store, which happens when no renewal arrived for
// its time to live. The store adds the recorded unreported usage to the counters, so the client queries how much of its usage each
// counter has.
func (c *Client) loseLease(now float64) {
	former := c.Holder()
	c.logLines = append(c.logLines, fmt.Sprintf("copies: lease of holder %s expired; querying its usage of %d counters", former, len(c.accounts)))
	c.leaseLosses++
	c.schedule.renewAt = now
	for _, key := range c.accountKeys() {
		a := c.accounts[key]
		a.record = unreportedRecord{}
		if a.reported == 0 && a.unreported == 0 && a.reserved == 0 {
			delete(c.accounts, key)
			continue
		}
		if !a.former.isPending() {
			a.former = formerUsage{holder: former}
		}
		c.queryFormerUsage(key, a)
	}
}

// queryFormerUsage queries the unreported and the reported amount. Commands of version 0 change nothing, and their replies carry
// the present amounts.
func (c *Client) queryFormerUsage(key string, a *account) {
	a.former.queries = 2
	c.request(queryFormerUnreported, key, statemachine.Command{
		Kind:   statemachine.RecordUnreported,
		Key:    key,
		Holder: a.former.holder,
		TTL:    a.ttl,
	})
	c.request(queryFormerReported, key, statemachine.Command{
		Kind:   statemachine.ReportUsage,
		Key:    key,
		Holder: a.former.holder,
		TTL:    a.ttl,
	})
}

// handleFormerUsage processes the response to a query. After both responses it subtracts what the counter has from the account's
// reported amount.
func (c *Client) handleFormerUsage(pending *pendingRequest, response *protocol.Response, failed bool) {
	a := c.accounts[pending.key]
	if a == nil || a.former.holder != pending.command.Holder || a.former.queries == 0 {
		return
	}
	if failed || response.Reply.Code != statemachine.LeaseExpired {
		a.former.queries = 0 // repeated with the next records
		return
	}
	if pending.kind == queryFormerUnreported {
		a.former.unreported = response.Reply.HolderTotal
	} else {
		a.former.reported = response.Reply.HolderTotal
	}
	if a.former.queries--; a.former.queries > 0 {
		return
	}
	a.reported -= max(a.former.unreported, a.former.reported)
	a.former.holder = ""
}

// handleLostFormerQuery has both queries repeated after the response to one of them was lost.
func (c *Client) handleLostFormerQuery(pending *pendingRequest) {
	if a := c.accounts[pending.key]; a != nil && a.former.holder == pending.command.Holder {
		a.former.queries = 0
	}
}
