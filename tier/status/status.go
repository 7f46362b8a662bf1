package status

import (
	"context"
	"slices"
	"sort"

	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// Status is the state of a tier. Times are in milliseconds.
type Status struct {
	Control       consensus.Record  `json:"control"`
	ConfigVersion uint64            `json:"config_version"` // 0 if no configuration has been accepted
	Revision      uint64            `json:"revision"`
	Stores        []directory.Store `json:"stores"`          // sorted by the machine's name
	Shards        []directory.Shard `json:"shards"`          // sorted by ID
	Hosts         []directory.Host  `json:"hosts"`           // sorted by ID
	Ejected       map[string]int64  `json:"hosts_set_aside"` // ejection duration, by the host's ID

	Recovery []Recovery `json:"recovery"` // of control processes and stores

	ControlProtection Protection            `json:"control_bears"`
	ShardProtection   map[uint32]Protection `json:"shards_bear"` // by the shard's ID
}

// Read reads the status from the control processes. The addresses are those of their internal ports. It returns codes.Unavailable
// if it receives no view.
func Read(ctx context.Context, addresses []string) (Status, error) {
	view, err := readView(ctx, addresses)
	if err != nil {
		return Status{}, err
	}
	s := fromView(view)
	s.Control = NewestRecord(ctx, addresses)
	s.fillProtection()
	s.Recovery = readRecovery(ctx, append(slices.Clone(addresses), s.storeAddresses()...))
	return s, nil
}

// fromView returns the part of the status that the view contains.
func fromView(view *feed.View) Status {
	s := Status{
		Revision: view.Revision(),
		Hosts:    directory.Hosts(view),
		Ejected:  directory.Ejections(view),
	}
	if data, found := view.Get(feed.SectionConfig, directory.CurrentKey); found {
		s.ConfigVersion, _ = state.SplitConfig(data)
	}
	for _, store := range directory.Stores(view) {
		s.Stores = append(s.Stores, store)
	}
	sort.Slice(s.Stores, func(i, j int) bool { return s.Stores[i].Node < s.Stores[j].Node })
	for _, shard := range directory.Shards(view) {
		s.Shards = append(s.Shards, shard)
	}
	sort.Slice(s.Shards, func(i, j int) bool { return s.Shards[i].ID < s.Shards[j].ID })
	return s
}

// fillProtection computes the protection of control and of the shards from the rest of the status.
func (s *Status) fillProtection() {
	name := s.ReplicaNames()
	s.ControlProtection = ProtectionOfControl(s.Control, name)
	s.ShardProtection = map[uint32]Protection{}
	for _, shard := range s.Shards {
		s.ShardProtection[shard.ID] = ProtectionOfShard(shard.View, name)
	}
}

func (s *Status) storeAddresses() []string {
	var addresses []string
	for _, store := range s.Stores {
		addresses = append(addresses, store.Address)
	}
	return addresses
}
