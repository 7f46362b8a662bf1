package directory

import (
	"otterseam/tier/codec"
	"otterseam/tier/consensus"
	"otterseam/tier/feed"
)

// EncodeControlMembers is the form of the members of control in a feed.
func EncodeControlMembers(record consensus.Record) []byte {
	var e codec.Encoder
	consensus.EncodeRecord(&e, record)
	return e.Bytes
}

// ControlAddresses reads the addresses of the members of control from a view.
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
