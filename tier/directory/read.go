package directory

import "otterseam/tier/feed"

// CurrentKey is the key of the single item in the section of the configuration, and in that of the members of control.
const CurrentKey = "current"

// Shards returns the shards of a view by their ID.
func Shards(view *feed.View) map[uint32]Shard {
	shards := map[uint32]Shard{}
	for _, item := range view.All(feed.SectionShard) {
		if shard, err := DecodeShard(item.Data); err == nil {
			shards[shard.ID] = shard
		}
	}
	return shards
}

// Stores returns the stores of a view by their identity.
func Stores(view *feed.View) map[uint64]Store {
	stores := map[uint64]Store{}
	for _, item := range view.All(feed.SectionStore) {
		if store, err := DecodeStore(item.Data); err == nil {
			stores[store.Identity] = store
		}
	}
	return stores
}

// Hosts returns the hosts of a view in the order of their IDs.
func Hosts(view *feed.View) []Host {
	var hosts []Host
	for _, item := range view.All(feed.SectionHost) {
		if host, err := DecodeHost(item.Data); err == nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Ejections returns the ejection durations of a view in milliseconds, by host ID.
func Ejections(view *feed.View) map[string]int64 {
	ejections := map[string]int64{}
	for _, item := range view.All(feed.SectionEjection) {
		if ms, err := DecodeEjectionDuration(item.Data); err == nil {
			ejections[item.Key] = ms
		}
	}
	return ejections
}
