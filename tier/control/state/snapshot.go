package state

import (
	"maps"
	"slices"

	"otterseam/tier/codec"
	"otterseam/tier/configlog"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// minHostBytes is the minimum size of a host record in a snapshot: length of the ID, sequence number, deregistered flag, log index.
const minHostBytes = 4 + 8 + 1 + 8

// Snapshot encodes the state. Equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e codec.Encoder
	e.Blob(s.View.Export().Encode())
	e.Uint32(uint32(len(s.hosts)))
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		record := s.hosts[id]
		e.String(id)
		e.Uint64(record.seq)
		e.Bool(record.deregistered)
		e.Uint64(record.deregisteredAt)
	}
	s.changes.Encode(&e)
	return e.Bytes
}

// Restore replaces the state by that of a snapshot.
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
	deregistered := decodeHostRecords(d, hosts)
	changes := configlog.Decode(d)
	if d.Err() != nil {
		return d.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = changes
	s.hosts = hosts
	s.deregistered = deregistered
	s.View.Restore(update)
	return nil
}

// listedHosts returns the hosts in an update of the view.
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

// decodeHostRecords adds the fields of the host records that are not in the view. It returns the number of deregistered hosts.
func decodeHostRecords(d *codec.Decoder, hosts map[string]hostRecord) (deregistered int) {
	for range d.Count(minHostBytes) {
		id := d.String()
		record := hosts[id]
		record.seq = d.Uint64()
		record.deregistered = d.Bool()
		record.deregisteredAt = d.Uint64()
		if record.deregistered {
			deregistered++
		}
		hosts[id] = record
	}
	return deregistered
}
