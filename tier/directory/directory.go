// Package directory defines what control distributes: hosts, store machines, shards and control members, as items of a feed.
package directory

import (
	"hash/crc32"
	"strconv"

	"otterseam/tier/codec"
	"otterseam/tier/consensus"
	"otterseam/tier/feed"
	"otterseam/tier/replica"
)

// CurrentKey is the key of the configuration in its section.
const CurrentKey = "current"

// Host is a host of a service, as it described itself.
type Host struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int
	Draining bool
	Stage    string
	Models   string // as JSON, unread
}

// Encode is the host's form in a feed.
func (h Host) Encode() []byte {
	var e codec.Encoder
	e.String(h.ID)
	e.String(h.Service)
	e.String(h.Address)
	e.String(h.Zone)
	e.String(h.Version)
	e.Uint32(uint32(h.Slots))
	e.Bool(h.Draining)
	e.String(h.Stage)
	e.String(h.Models)
	return e.Bytes
}

// DecodeHost reads a host.
func DecodeHost(data []byte) (Host, error) {
	d := codec.NewDecoder(data)
	h := Host{
		ID: d.String(), Service: d.String(), Address: d.String(), Zone: d.String(), Version: d.String(),
		Slots: int(d.Uint32()), Draining: d.Bool(), Stage: d.String(), Models: d.String(),
	}
	return h, d.Err()
}

// EncodeEjectionTerm is the form in a feed of the term, in milliseconds, for which a host is set aside.
func EncodeEjectionTerm(ms int64) []byte {
	var e codec.Encoder
	e.Int64(ms)
	return e.Bytes
}

// DecodeEjectionTerm reads a term in milliseconds.
func DecodeEjectionTerm(data []byte) (int64, error) {
	d := codec.NewDecoder(data)
	ms := d.Int64()
	return ms, d.Err()
}

// Store is a store process in one incarnation. Its identity belongs to its disk, its boot to the process.
type Store struct {
	Identity    uint64
	Incarnation uint64 `json:"Boot"`
	Node        string
	Address     string
	Zone        string
}

// Encode is the store's form in a feed.
func (s Store) Encode() []byte {
	var e codec.Encoder
	e.Uint64(s.Identity)
	e.Uint64(s.Incarnation)
	e.String(s.Node)
	e.String(s.Address)
	e.String(s.Zone)
	return e.Bytes
}

// DecodeStore reads a store.
func DecodeStore(data []byte) (Store, error) {
	d := codec.NewDecoder(data)
	s := Store{Identity: d.Uint64(), Incarnation: d.Uint64(), Node: d.String(), Address: d.String(), Zone: d.String()}
	return s, d.Err()
}

// StoreKey is the store's key in its section.
func StoreKey(identity uint64) string { return strconv.FormatUint(identity, 16) }

// Shard is a group of programs and who holds it. PrimaryBoot names the incarnation that may act as primary. Each shard tells how
// many there are in all, so that a view that is not complete yet sends no program to the wrong one.
type Shard struct {
	ID                 uint32
	Total              uint32
	View               replica.View
	PrimaryIncarnation uint64 `json:"PrimaryBoot"`
}

// Encode is the shard's form in a feed.
func (s Shard) Encode() []byte {
	var e codec.Encoder
	e.Uint32(s.ID)
	e.Uint32(s.Total)
	e.Uint64(s.View.Epoch)
	e.Uint64(s.View.Primary)
	e.Uint64(s.PrimaryIncarnation)
	e.Uint64s(s.View.InSync)
	e.Uint64s(s.View.Replicas)
	e.Uint32(uint32(s.View.MinInSync))
	return e.Bytes
}

// DecodeShard reads a shard.
func DecodeShard(data []byte) (Shard, error) {
	d := codec.NewDecoder(data)
	s := Shard{ID: d.Uint32(), Total: d.Uint32()}
	s.View.Epoch = d.Uint64()
	s.View.Primary = d.Uint64()
	s.PrimaryIncarnation = d.Uint64()
	s.View.InSync = d.Uint64s()
	s.View.Replicas = d.Uint64s()
	s.View.MinInSync = int(d.Uint32())
	return s, d.Err()
}

// ShardKey is the shard's key in its section.
func ShardKey(id uint32) string { return strconv.FormatUint(uint64(id), 10) }

// ShardOfProgram returns the shard of a program, if the map holds it.
func ShardOfProgram(program string, shards map[uint32]Shard) (Shard, bool) {
	for _, any := range shards {
		shard, found := shards[crc32.ChecksumIEEE([]byte(program))%max(any.Total, 1)]
		return shard, found
	}
	return Shard{}, false
}

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

// EncodeControlMembers is the form of the control members in a feed.
func EncodeControlMembers(record consensus.Record) []byte {
	var e codec.Encoder
	consensus.EncodeRecord(&e, record)
	return e.Bytes
}

// ControlAddresses reads the addresses of the control members from a view.
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
