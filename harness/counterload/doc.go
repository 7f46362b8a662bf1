// Package counterload loads servers of the counter's protocol, in open loop: calls begin when they are due, whether or not those before
// them are answered, and their time counts from then. It notes what was acknowledged and what may have been added, and holds the
// totals against that.
//
// The counter's protocol is POST /counters/NAME?by=AMOUNT&expire_ms=LIFE over HTTP/1.1, answered in order with the total as
// the body.
package counterload
