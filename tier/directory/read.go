package directory

import "otterseam/tier/feed"

// CurrentKey is the key of the only item in the sections of the configuration and of the members of control.
const CurrentKey = "current"

// Shards reads the shard map of a view.
func Shards(view *feed.View) map[uint32]Shard {
	shards := map[uint32]Shard{}
	for _, item := range view.All(feed.SectionShard) {
		if shard, err := DecodeShard(item.Data); err == nil {
			shards[shard.ID] = shard
		}
	}
	return shards
}

// Stores reads the store machines of a view by their identity.
func Stores(view *feed.View) map[uint64]Store {
	stores := map[uint64]Store{}
	for _, item := range view.All(feed.SectionStore) {
		if store, err := DecodeStore(item.Data); err == nil {
			stores[store.Identity] = store
		}
	}
	return stores
}

// Hosts reads the hosts of a view in the order of their IDs.
func Hosts(view *feed.View) []Host {
	var hosts []Host
	for _, item := range view.All(feed.SectionHost) {
		if host, err := DecodeHost(item.Data); err == nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Ejections reads how long, in milliseconds, the ejected hosts of a view are ejected, by their IDs.
func Ejections(view *feed.View) map[string]int64 {
	ejections := map[string]int64{}
	for _, item := range view.All(feed.SectionEjection) {
		if ms, err := DecodeEjectionDuration(item.Data); err == nil {
			ejections[item.Key] = ms
		}
	}
	return ejections
}
