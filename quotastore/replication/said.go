package replication

import "otterseam/quotastore/protocol"

// What keepers say has one form, which stands in package say, as api gateways use it too and need none of the rest.
type (
	ID       = protocol.ID
	Frame    = protocol.Frame
	Hello    = protocol.Hello
	Leads    = protocol.Leads
	Asked    = protocol.Asked
	Replied  = protocol.Replied
	Admin    = protocol.Admin
	Founding = protocol.Founding
	Health   = protocol.Health
)

// MakeID makes an ID.
func MakeID(number int, life uint32) ID { return protocol.MakeID(number, life) }
