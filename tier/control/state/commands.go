package state

import (
	"cmp"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/directory"
)

// Kind is the type of a replicated command, encoded as the first byte of the command in the log.
type Kind uint8

// The kinds of commands, each with the event on which the primary proposes it. All replicas apply all commands.
const (
	KindReplaceConfig Kind = iota + 1 // an operator replaces the configuration
	KindPutHost                       // a host's heartbeat differs from the host's entry
	KindRemoveHost                    // a host deregisters, or the reconciler removes a silent one
	KindPutStore                      // a store's heartbeat differs from the store's entry
	KindRemoveStore                   // the reconciler removes a store with a lost disk, or a silent one without shards
	KindPutShard                      // the reconciler places a shard, or the shard's primary changes its in-sync set
	KindRetireNode                    // an operator retires a store machine
	KindSetMembers                    // the reconciler publishes a change of control's members
	KindReadConfig                    // an operator reads the configuration or the state of a retirement
	KindEjectHost                     // the reconciler ejects an outlier
	KindReinstateHost                 // the reconciler ends an ejection
)

// Command is one change of the control state, or a read that is committed like a change.
type Command interface {
	// Kind returns the command's kind.
	Kind() Kind
	// Encode returns the command's encoding in the log.
	Encode() []byte

	// apply executes the command at its index in the log. The caller holds the state's lock.
	apply(s *State, index uint64) Result
}

// ReplaceConfig replaces the operator's configuration if the change is based on the current version.
type ReplaceConfig struct {
	Base    uint64 // version that the change is based on
	Version uint64 // version of the new configuration
	Body    []byte // the configuration as the operator sent it
}

// ReadConfig reads the current configuration. It is committed like a change, so that a primary that was replaced can't answer it.
type ReadConfig struct{}

// PutHost adds or updates a host from its heartbeat.
type PutHost struct {
	Host directory.Host
	Seq  uint64 // sequence number of the heartbeat
}

// RemoveHost removes a host from the host list.
type RemoveHost struct {
	ID           string
	Deregistered bool // the host asked for the removal and is never listed again
}

// PutStore adds or updates a store.
type PutStore struct{ Store directory.Store }

// RemoveStore removes a store.
type RemoveStore struct{ Store directory.Store }

// PutShard replaces a shard's placement if its epoch is still the one that the change is based on.
type PutShard struct {
	Epoch uint64 // epoch that the change is based on, 0 for a new shard
	Shard directory.Shard
}

// RetireNode marks a store machine for retirement: all of its replicas are moved to other machines.
type RetireNode struct {
	Node   string
	Needed uint32 // number of store machines that must remain
}

// SetMembers publishes the addresses of the control processes to subscribers.
type SetMembers struct{ Record consensus.Record }

// EjectHost excludes a host from traffic for a time.
type EjectHost struct {
	ID         string
	DurationMS int64
}

// ReinstateHost ends the ejection of a host.
type ReinstateHost struct{ ID string }

// Kind returns KindReplaceConfig.
func (ReplaceConfig) Kind() Kind { return KindReplaceConfig }

// Kind returns KindReadConfig.
func (ReadConfig) Kind() Kind { return KindReadConfig }

// Kind returns KindPutHost.
func (PutHost) Kind() Kind { return KindPutHost }

// Kind returns KindRemoveHost.
func (RemoveHost) Kind() Kind { return KindRemoveHost }

// Kind returns KindPutStore.
func (PutStore) Kind() Kind { return KindPutStore }

// Kind returns KindRemoveStore.
func (RemoveStore) Kind() Kind { return KindRemoveStore }

// Kind returns KindPutShard.
func (PutShard) Kind() Kind { return KindPutShard }

// Kind returns KindRetireNode.
func (RetireNode) Kind() Kind { return KindRetireNode }

// Kind returns KindSetMembers.
func (SetMembers) Kind() Kind { return KindSetMembers }

// Kind returns KindEjectHost.
func (EjectHost) Kind() Kind { return KindEjectHost }

// Kind returns KindReinstateHost.
func (ReinstateHost) Kind() Kind { return KindReinstateHost }

// DecodeCommand decodes a command. The error for an unknown kind is codes.Malformed.
func DecodeCommand(data []byte) (Command, error) {
	d := codec.NewDecoder(data)
	decode, known := decoders[Kind(d.Uint8())]
	if !known {
		return nil, codes.Malformed
	}
	return decode(d)
}

// decoders maps each kind of command to the decoder of the bytes after the first.
var decoders = map[Kind]func(*codec.Decoder) (Command, error){
	KindReplaceConfig: decoderOf(decodeReplaceConfig),
	KindPutHost:       decoderOf(decodePutHost),
	KindRemoveHost:    decoderOf(decodeRemoveHost),
	KindPutStore:      decoderOf(decodePutStore),
	KindRemoveStore:   decoderOf(decodeRemoveStore),
	KindPutShard:      decoderOf(decodePutShard),
	KindRetireNode:    decoderOf(decodeRetireNode),
	KindSetMembers:    decoderOf(decodeSetMembers),
	KindReadConfig:    func(d *codec.Decoder) (Command, error) { return ReadConfig{}, d.Err() },
	KindEjectHost:     decoderOf(decodeEjectHost),
	KindReinstateHost: decoderOf(decodeReinstateHost),
}

func decoderOf[C Command](decode func(*codec.Decoder) (C, error)) func(*codec.Decoder) (Command, error) {
	return func(d *codec.Decoder) (Command, error) { return decode(d) }
}

// begin returns an encoder that holds the kind of a command.
func begin(kind Kind) *codec.Encoder {
	var e codec.Encoder
	e.Uint8(uint8(kind))
	return &e
}

// Encode returns the command's encoding in the log.
func (c ReplaceConfig) Encode() []byte {
	e := begin(KindReplaceConfig)
	e.Uint64(c.Base)
	e.Uint64(c.Version)
	e.Blob(c.Body)
	return e.Bytes
}

func decodeReplaceConfig(d *codec.Decoder) (ReplaceConfig, error) {
	c := ReplaceConfig{Base: d.Uint64(), Version: d.Uint64(), Body: d.Blob()}
	return c, d.Err()
}

// Encode returns the command's encoding in the log.
func (ReadConfig) Encode() []byte { return begin(KindReadConfig).Bytes }

// Encode returns the command's encoding in the log.
func (c PutHost) Encode() []byte {
	e := begin(KindPutHost)
	e.Blob(c.Host.Encode())
	e.Uint64(c.Seq)
	return e.Bytes
}

func decodePutHost(d *codec.Decoder) (PutHost, error) {
	host, err := directory.DecodeHost(d.Blob())
	c := PutHost{Host: host, Seq: d.Uint64()}
	return c, cmp.Or(err, d.Err())
}

// Encode returns the command's encoding in the log.
func (c RemoveHost) Encode() []byte {
	e := begin(KindRemoveHost)
	e.String(c.ID)
	e.Bool(c.Deregistered)
	return e.Bytes
}

func decodeRemoveHost(d *codec.Decoder) (RemoveHost, error) {
	c := RemoveHost{ID: d.String(), Deregistered: d.Bool()}
	return c, d.Err()
}

// Encode returns the command's encoding in the log.
func (c PutStore) Encode() []byte { return encodeStore(KindPutStore, c.Store) }

// Encode returns the command's encoding in the log.
func (c RemoveStore) Encode() []byte { return encodeStore(KindRemoveStore, c.Store) }

func encodeStore(kind Kind, store directory.Store) []byte {
	e := begin(kind)
	e.Blob(store.Encode())
	return e.Bytes
}

func decodePutStore(d *codec.Decoder) (PutStore, error) {
	store, err := directory.DecodeStore(d.Blob())
	c := PutStore{Store: store}
	return c, cmp.Or(err, d.Err())
}

func decodeRemoveStore(d *codec.Decoder) (RemoveStore, error) {
	store, err := directory.DecodeStore(d.Blob())
	c := RemoveStore{Store: store}
	return c, cmp.Or(err, d.Err())
}

// Encode returns the command's encoding in the log.
func (c PutShard) Encode() []byte {
	e := begin(KindPutShard)
	e.Uint64(c.Epoch)
	e.Blob(c.Shard.Encode())
	return e.Bytes
}

func decodePutShard(d *codec.Decoder) (PutShard, error) {
	epoch := d.Uint64()
	shard, err := directory.DecodeShard(d.Blob())
	c := PutShard{Epoch: epoch, Shard: shard}
	return c, cmp.Or(err, d.Err())
}

// Encode returns the command's encoding in the log.
func (c RetireNode) Encode() []byte {
	e := begin(KindRetireNode)
	e.String(c.Node)
	e.Uint32(c.Needed)
	return e.Bytes
}

func decodeRetireNode(d *codec.Decoder) (RetireNode, error) {
	c := RetireNode{Node: d.String(), Needed: d.Uint32()}
	return c, d.Err()
}

// Encode returns the command's encoding in the log.
func (c SetMembers) Encode() []byte {
	e := begin(KindSetMembers)
	consensus.EncodeRecord(e, c.Record)
	return e.Bytes
}

func decodeSetMembers(d *codec.Decoder) (SetMembers, error) {
	c := SetMembers{Record: consensus.DecodeRecord(d)}
	return c, d.Err()
}

// Encode returns the command's encoding in the log.
func (c EjectHost) Encode() []byte {
	e := begin(KindEjectHost)
	e.String(c.ID)
	e.Int64(c.DurationMS)
	return e.Bytes
}

func decodeEjectHost(d *codec.Decoder) (EjectHost, error) {
	c := EjectHost{ID: d.String(), DurationMS: d.Int64()}
	return c, d.Err()
}

// Encode returns the command's encoding in the log.
func (c ReinstateHost) Encode() []byte {
	e := begin(KindReinstateHost)
	e.String(c.ID)
	return e.Bytes
}

func decodeReinstateHost(d *codec.Decoder) (ReinstateHost, error) {
	c := ReinstateHost{ID: d.String()}
	return c, d.Err()
}
