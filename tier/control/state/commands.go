package state

import (
	"cmp"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/directory"
)

// Kind tells what a replicated command does. It is the first byte of the command in the log.
type Kind uint8

// The kinds of commands. The primary proposes all of them, and all replicas apply them; each says what has the primary do so.
const (
	KindReplaceConfig Kind = iota + 1 // an operator's change of the configuration
	KindPutHost                       // a host's heartbeat that says something new
	KindRemoveHost                    // a host that deregistered, or the reconciler for a silent one
	KindPutStore                      // a store machine's heartbeat that says something new
	KindRemoveStore                   // the reconciler, for a lost disk
	KindPutShard                      // the reconciler's placement, or the shard's primary for its in-sync set
	KindRetireNode                    // an operator's retirement of a store machine
	KindSetMembers                    // the reconciler, after a change of control's members
	KindReadConfig                    // an operator's read of the configuration or of a retirement
	KindEjectHost                     // the reconciler, for an outlier
	KindReinstateHost                 // the reconciler, at the end of an ejection
)

// Command is one change of the control state, or a read that is committed like a change.
type Command interface {
	// Kind tells the command's kind.
	Kind() Kind
	// Encode is the command's replicated form.
	Encode() []byte

	// apply carries the command out at its index in the log. The state's lock is held.
	apply(s *State, index uint64) Result
}

// ReplaceConfig puts an operator's configuration in place if it builds on the current version.
type ReplaceConfig struct {
	Base    uint64 // version that the change builds on
	Version uint64 // version of the new configuration
	Body    []byte // the configuration as the operator sent it
}

// ReadConfig reads the configuration in place. It is committed, so that a primary that has been replaced can't answer it.
type ReadConfig struct{}

// PutHost takes what a host's heartbeat says of the host.
type PutHost struct {
	Host directory.Host
	Seq  uint64 // sequence number of the heartbeat
}

// RemoveHost takes a host off the list.
type RemoveHost struct {
	ID           string
	Deregistered bool // the host said so itself and never comes back
}

// PutStore registers a store.
type PutStore struct{ Store directory.Store }

// RemoveStore forgets a store.
type RemoveStore struct{ Store directory.Store }

// PutShard replaces a shard's placement if it still has the epoch that the change builds on.
type PutShard struct {
	Epoch uint64 // epoch that the change builds on, 0 for a new shard
	Shard directory.Shard
}

// RetireNode orders a store machine to be emptied.
type RetireNode struct {
	Node   string
	Needed uint32 // store machines that have to remain
}

// SetMembers tells subscribers where control is.
type SetMembers struct{ Record consensus.Record }

// EjectHost keeps traffic away from a host for a term.
type EjectHost struct {
	ID     string
	TermMS int64
}

// ReinstateHost takes an ejection back.
type ReinstateHost struct{ ID string }

// Kind is KindReplaceConfig.
func (ReplaceConfig) Kind() Kind { return KindReplaceConfig }

// Kind is KindReadConfig.
func (ReadConfig) Kind() Kind { return KindReadConfig }

// Kind is KindPutHost.
func (PutHost) Kind() Kind { return KindPutHost }

// Kind is KindRemoveHost.
func (RemoveHost) Kind() Kind { return KindRemoveHost }

// Kind is KindPutStore.
func (PutStore) Kind() Kind { return KindPutStore }

// Kind is KindRemoveStore.
func (RemoveStore) Kind() Kind { return KindRemoveStore }

// Kind is KindPutShard.
func (PutShard) Kind() Kind { return KindPutShard }

// Kind is KindRetireNode.
func (RetireNode) Kind() Kind { return KindRetireNode }

// Kind is KindSetMembers.
func (SetMembers) Kind() Kind { return KindSetMembers }

// Kind is KindEjectHost.
func (EjectHost) Kind() Kind { return KindEjectHost }

// Kind is KindReinstateHost.
func (ReinstateHost) Kind() Kind { return KindReinstateHost }

// DecodeCommand reads a command. An unknown kind is codes.Malformed.
func DecodeCommand(data []byte) (Command, error) {
	d := codec.NewDecoder(data)
	decode, known := decoders[Kind(d.Uint8())]
	if !known {
		return nil, codes.Malformed
	}
	return decode(d)
}

// decoders reads each kind of command after its first byte.
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

// begin starts an encoded command with its kind.
func begin(kind Kind) *codec.Encoder {
	var e codec.Encoder
	e.Uint8(uint8(kind))
	return &e
}

// Encode is the command's replicated form.
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

// Encode is the command's replicated form.
func (ReadConfig) Encode() []byte { return begin(KindReadConfig).Bytes }

// Encode is the command's replicated form.
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

// Encode is the command's replicated form.
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

// Encode is the command's replicated form.
func (c PutStore) Encode() []byte { return encodeStore(KindPutStore, c.Store) }

// Encode is the command's replicated form.
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

// Encode is the command's replicated form.
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

// Encode is the command's replicated form.
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

// Encode is the command's replicated form.
func (c SetMembers) Encode() []byte {
	e := begin(KindSetMembers)
	consensus.EncodeRecord(e, c.Record)
	return e.Bytes
}

func decodeSetMembers(d *codec.Decoder) (SetMembers, error) {
	c := SetMembers{Record: consensus.DecodeRecord(d)}
	return c, d.Err()
}

// Encode is the command's replicated form.
func (c EjectHost) Encode() []byte {
	e := begin(KindEjectHost)
	e.String(c.ID)
	e.Int64(c.TermMS)
	return e.Bytes
}

func decodeEjectHost(d *codec.Decoder) (EjectHost, error) {
	c := EjectHost{ID: d.String(), TermMS: d.Int64()}
	return c, d.Err()
}

// Encode is the command's replicated form.
func (c ReinstateHost) Encode() []byte {
	e := begin(KindReinstateHost)
	e.String(c.ID)
	return e.Bytes
}

func decodeReinstateHost(d *codec.Decoder) (ReinstateHost, error) {
	c := ReinstateHost{ID: d.String()}
	return c, d.Err()
}
