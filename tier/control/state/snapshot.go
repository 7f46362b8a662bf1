package state

import (
	"maps"
	"slices"

	"otterseam/tier/codec"
	"otterseam/tier/configlog"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// smallestHost is the least number of bytes that a host takes in a snapshot: length of its id, sequence number, departed, index.
const smallestHost = 4 + 8 + 1 + 8

// Snapshot is the state as bytes, the same for the same state.
func (s *State) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e codec.Encoder
	e.Blob(s.View.Export().Encode())
	e.Uint32(uint32(len(s.hosts)))
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		held := s.hosts[id]
		e.String(id)
		e.Uint64(held.seq)
		e.Bool(held.departed)
		e.Uint64(held.departedAt)
	}
	s.changes.Encode(&e)
	return e.Bytes
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	update, err := feed.DecodeUpdate(d.Blob())
	if err != nil {
		return err
	}
	hosts, err := listedHosts(update)
	if err != nil {
		return err
	}
	departed := decodeHostRecords(d, hosts)
	changes := configlog.Decode(d)
	if d.Err() != nil {
		return d.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = changes
	s.hosts = hosts
	s.departed = departed
	s.View.Restore(update)
	return nil
}

// listedHosts reads the hosts that a view lists.
func listedHosts(update feed.Update) (map[string]hostRecord, error) {
	hosts := map[string]hostRecord{}
	for _, item := range update.Items {
		if item.Section != feed.SectionHost || item.Deleted {
			continue
		}
		host, err := directory.DecodeHost(item.Data)
		if err != nil {
			return nil, err
		}
		hosts[host.ID] = hostRecord{host: host}
	}
	return hosts, nil
}

// decodeHostRecords adds what a snapshot says of hosts beside the view. It returns how many have departed.
func decodeHostRecords(d *codec.Decoder, hosts map[string]hostRecord) (departed int) {
	for range d.Count(smallestHost) {
		id := d.String()
		held := hosts[id]
		held.seq = d.Uint64()
		held.departed = d.Bool()
		held.departedAt = d.Uint64()
		if held.departed {
			departed++
		}
		hosts[id] = held
	}
	return departed
}
