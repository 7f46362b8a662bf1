package opconfig

import "github.com/mailru/easyjson"

//go:generate go tool easyjson -all heartbeat.go

// Heartbeat is the state that a host reports periodically.
type Heartbeat struct {
	Service string              `json:"service"`
	Address string              `json:"address"`
	Zone    string              `json:"zone"`
	Version string              `json:"version"`
	Slots   int                 `json:"slots"` // number of requests that the host serves concurrently
	State   string              `json:"state"`
	Stage   string              `json:"stage"`
	Models  easyjson.RawMessage `json:"models"` // passed on without decoding
	SeqNo   uint64              `json:"seq_no"` // counted by the host; a heartbeat older than the newest accepted one is rejected
}

// StateDraining is the state of a host that is about to leave and accepts no new requests.
const StateDraining = "draining"
