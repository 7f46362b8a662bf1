package directory

import (
	"otterseam/tier/codec"
	"otterseam/tier/consensus"
	"otterseam/tier/feed"
)

// EncodeControlMembers encodes the membership record of control as a feed item's data.
func EncodeControlMembers(record consensus.Record) []byte {
	var e codec.Encoder
	consensus.EncodeRecord(&e, record)
	return e.Bytes
}

// ControlAddresses returns the addresses of the members of control in a view.
func ControlAddresses(view *feed.View) []string {
	data, found := view.Get(feed.SectionControl, CurrentKey)
	if !found {
		return nil
	}
	record := consensus.DecodeRecord(codec.NewDecoder(data))
	var addresses []string
	for _, member := range record.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
