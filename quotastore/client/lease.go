package client

import (
	"fmt"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// formerUsage is what has to be learned of an account after the lease expired: how much the counter has, or will have, of it
// under the holder name of that lease.
type formerUsage struct {
	holder     string // "": nothing has to be learned
	unreported float64
	reported   float64
	queries    int // without a response
}

func (f *formerUsage) isOpen() bool { return f.holder != "" }

// loseLease goes on under the next holder name: the store let the lease expire, as nothing of the client came through for
// long, and adds what was recorded as unreported to the counters. For each counter the client asks how much of its own is in
// it.
func (c *Client) loseLease(now float64) {
	former := c.Holder()
	c.logLines = append(c.logLines, fmt.Sprintf("copies: lease of %s expired, %d counters are queried again", former, len(c.accounts)))
	c.leaseLosses++
	c.schedule.renewAt = now
	for _, key := range c.accountKeys() {
		a := c.accounts[key]
		a.record = unreportedRecord{}
		if a.reported == 0 && a.unreported == 0 && a.reserved == 0 {
			delete(c.accounts, key)
			continue
		}
		if !a.former.isOpen() {
			a.former = formerUsage{holder: former}
		}
		c.queryFormerUsage(key, a)
	}
}

// queryFormerUsage asks for both amounts. Commands of version 0 change nothing, and are answered with what there is.
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

// formerUsageKnown takes the answer to a query. After both the account goes on with what the counter lacks.
func (c *Client) formerUsageKnown(pending *pendingRequest, response *protocol.Response, failed bool) {
	a := c.accounts[pending.key]
	if a == nil || a.former.holder != pending.command.Holder || a.former.queries == 0 {
		return
	}
	if failed || response.Reply.Code != statemachine.LeaseExpired {
		a.former.queries = 0 // asked again with the next records
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

// formerQueryLost says that a query will not be answered: both are asked again.
func (c *Client) formerQueryLost(pending *pendingRequest) {
	if a := c.accounts[pending.key]; a != nil && a.former.holder == pending.command.Holder {
		a.former.queries = 0
	}
}
