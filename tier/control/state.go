package control

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/configlog"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// State is the control state machine. It is folded into a view, from which it is also served, saved and restored.
type State struct {
	View *feed.View

	mu     sync.Mutex
	orders configlog.Log
	hosts  map[string]hostState
	gone   int // hosts that deregistered and whose ids are still known
}

// hostState is what a host's newest accepted heartbeat said.
type hostState struct {
	host   directory.Host
	seq    uint64
	gone   bool   // it deregistered
	goneAt uint64 // index of the command that said so
}

// NewState makes an empty state.
func NewState() *State {
	return &State{View: feed.NewView(), hosts: map[string]hostState{}}
}

// Apply carries out a command at its place in the log.
func (s *State) Apply(index uint64, command []byte) any {
	c, err := DecodeCommand(command)
	if err != nil {
		return Result{Code: codes.Malformed}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.Kind {
	case CommandReplaceConfig:
		return Result{Code: s.replaceConfig(index, c)}
	case CommandPutHost:
		return Result{Code: s.putHost(index, c)}
	case CommandRemoveHost:
		s.removeHost(index, c)
	case CommandPutStore:
		s.putStore(index, c.Store)
	case CommandRemoveStore:
		s.View.Delete(feed.SectionStore, directory.StoreKey(c.Store.Identity), index)
		s.retirementLosesStore(index, c.Store.Node)
	case CommandPutShard:
		return Result{Code: s.putShard(index, c)}
	case CommandRetire:
		return Result{Code: s.retire(index, c)}
	case CommandMembers:
		s.View.SetInstallation(c.Record.ClusterID)
		s.View.Put(feed.SectionControl, directory.ConfigKey, index, directory.EncodeMembers(c.Record))
	case CommandSetAside:
		if held, known := s.hosts[c.Key]; known && !held.gone {
			s.View.Put(feed.SectionVerdict, c.Key, index, directory.EncodeTerm(c.TermMS))
		}
	case CommandEndAside:
		s.endAside(index, c.Key)
	case CommandReadConfig:
		return s.readConfig()
	}
	return Result{Code: codes.OK}
}

// configItem is the stored form of a configuration: its version before its body.
func configItem(version uint64, body []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, version), body...)
}

// SplitConfig takes a stored configuration apart.
func SplitConfig(data []byte) (version uint64, body []byte) {
	if len(data) < 8 {
		return 0, nil
	}
	return binary.BigEndian.Uint64(data), data[8:]
}

func (s *State) currentVersion() uint64 {
	data, _ := s.View.Get(feed.SectionConfig, directory.ConfigKey)
	version, _ := SplitConfig(data)
	return version
}

// replaceConfig takes a configuration if it builds on the current one. The same order gets the same answer again.
func (s *State) replaceConfig(index uint64, c Command) codes.Code {
	order := configlog.Change{Base: c.Base, Version: c.Version, Body: configlog.HashOf(c.Body)}
	answer, fresh := s.orders.Decide(order, s.currentVersion())
	if fresh {
		s.View.Put(feed.SectionConfig, directory.ConfigKey, index, configItem(c.Version, c.Body))
	}
	return answer
}

func (s *State) readConfig() Result {
	data, found := s.View.Get(feed.SectionConfig, directory.ConfigKey)
	if !found {
		return Result{Code: codes.ConfigNone}
	}
	_, body := SplitConfig(data)
	return Result{Code: codes.OK, Body: body}
}

// putHost takes what a host says of itself unless something newer has been taken. A host that drains never becomes ready
// again in the same incarnation.
func (s *State) putHost(index uint64, c Command) codes.Code {
	held, known := s.hosts[c.Host.ID]
	if known && (held.gone || c.Seq < held.seq || (held.host.Draining && !c.Host.Draining)) {
		return codes.HostStale
	}
	s.hosts[c.Host.ID] = hostState{host: c.Host, seq: c.Seq}
	if !known || held.host != c.Host {
		s.View.Put(feed.SectionHost, c.Host.ID, index, c.Host.Encode())
	}
	return codes.OK
}

// removeHost takes a host off the list; of one that deregistered the id stays known, so that a late heartbeat is.
func (s *State) removeHost(index uint64, c Command) {
	held, known := s.hosts[c.Key]
	if known && !held.gone {
		s.View.Delete(feed.SectionHost, c.Key, index)
		s.endAside(index, c.Key)
	}
	if c.Final {
		s.markGone(c.Key, index)
	} else if !held.gone {
		delete(s.hosts, c.Key)
	}
}

// endAside takes back that a host is set aside.
func (s *State) endAside(index uint64, host string) {
	if _, aside := s.View.Get(feed.SectionVerdict, host); aside {
		s.View.Delete(feed.SectionVerdict, host, index)
	}
}

func (s *State) putStore(index uint64, store directory.Store) {
	s.View.Put(feed.SectionStore, directory.StoreKey(store.Identity), index, store.Encode())
	s.retirementMeetsStore(index, store)
}

func (s *State) putShard(index uint64, c Command) codes.Code {
	key := directory.ShardKey(c.Shard.ID)
	epoch := uint64(0)
	if data, found := s.View.Get(feed.SectionShard, key); found {
		if held, err := directory.DecodeShard(data); err == nil {
			epoch = held.View.Epoch
		}
	}
	if epoch != c.Epoch {
		return codes.NotPrimary
	}
	s.View.Put(feed.SectionShard, key, index, c.Shard.Encode())
	return codes.OK
}

// retire marks a store machine to be emptied.
func (s *State) retire(index uint64, c Command) codes.Code {
	if _, retiring := s.View.Get(feed.SectionRetire, c.Key); retiring {
		return codes.OK
	}
	known := false
	remaining := 0
	for _, store := range directory.Stores(s.View) {
		if store.Node == c.Key {
			known = true
		} else if _, leaving := s.View.Get(feed.SectionRetire, store.Node); !leaving {
			remaining++
		}
	}
	if !known {
		return codes.RetireUnknown
	}
	if remaining < int(c.Needed) {
		return codes.RetireTooFew
	}
	s.beginRetirement(index, c.Key)
	return codes.OK
}

// Hosts returns the hosts on the list.
func (s *State) Hosts() map[string]directory.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := make(map[string]directory.Host, len(s.hosts))
	for id, held := range s.hosts {
		if !held.gone {
			hosts[id] = held.host
		}
	}
	return hosts
}

// Host returns one host.
func (s *State) Host(id string) (directory.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.hosts[id]
	return held.host, known && !held.gone
}

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
		e.Bool(held.gone)
		e.Uint64(held.goneAt)
	}
	s.orders.Encode(&e)
	return e.Bytes
}

const smallestHost = 4 + 8 + 1 + 8

// Restore replaces the state by a snapshot.
func (s *State) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	update, err := feed.DecodeUpdate(d.Blob())
	if err != nil {
		return err
	}
	hosts := map[string]hostState{}
	for _, item := range update.Items {
		if item.Section != feed.SectionHost || item.Deleted {
			continue
		}
		host, err := directory.DecodeHost(item.Data)
		if err != nil {
			return err
		}
		hosts[host.ID] = hostState{host: host}
	}
	gone := 0
	for range d.Count(smallestHost) {
		id := d.String()
		seq := d.Uint64()
		held := hosts[id]
		held.seq = seq
		held.gone = d.Bool()
		held.goneAt = d.Uint64()
		if held.gone {
			gone++
		}
		hosts[id] = held
	}
	answered := configlog.Decode(d)
	if d.Err() != nil {
		return d.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = answered
	s.hosts = hosts
	s.gone = gone
	s.View.Restore(update)
	return nil
}
