package opconfig

import "github.com/mailru/easyjson"

//go:generate go tool easyjson -all heartbeat.go

// Heartbeat is what a host says of itself.
type Heartbeat struct {
	Service string              `json:"service"`
	Address string              `json:"address"`
	Zone    string              `json:"zone"`
	Version string              `json:"version"`
	Slots   int                 `json:"slots"`
	State   string              `json:"state"`
	Stage   string              `json:"stage"`
	Models  easyjson.RawMessage `json:"models"`
	SeqNo   uint64              `json:"seq_no"`
}

// StateDraining is the state of a host that is about to leave.
const StateDraining = "draining"
