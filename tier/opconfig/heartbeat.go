package opconfig

import "github.com/mailru/easyjson"

//go:generate go tool easyjson -all heartbeat.go

// Heartbeat is what a host says of itself.
type Heartbeat struct {
	Service string              `json:"service"`
	Address string              `json:"address"`
	Zone    string              `json:"zone"`
	Version string              `json:"version"`
	Slots   int                 `json:"slots"` // requests that it serves at once
	State   string              `json:"state"`
	Stage   string              `json:"stage"`
	Models  easyjson.RawMessage `json:"models"` // passed on unread
	SeqNo   uint64              `json:"seq_no"` // counted by the host; an older one than already taken is rejected
}

// StateDraining is the state of a host that is about to leave: it takes no new requests.
const StateDraining = "draining"
