// Package control keeps the tier's control state: the configuration, the hosts and store machines that exist, and who holds
// which shard. The state is replicated from a primary to its backups; each control process also serves it to subscribers.
package control

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/directory"
)

// CommandKind tells what a replicated command does.
type CommandKind uint8

// The kinds of commands.
const (
	CommandReplaceConfig CommandKind = iota + 1
	CommandPutHost
	CommandRemoveHost
	CommandPutStore
	CommandRemoveStore
	CommandPutShard
	CommandRetire
	CommandMembers
	CommandReadConfig
	CommandSetAside // a host, for a term
	CommandEndAside
)

// Command is one change of the control state. Only the fields that its kind needs are set.
type Command struct {
	Kind    CommandKind
	Base    uint64 // of a configuration
	Version uint64
	Body    []byte
	Key     string // a host's id or a machine's name
	Host    directory.Host
	Seq     uint64 // of a heartbeat
	Final   bool   // the host deregistered
	Store   directory.Store
	Shard   directory.Shard
	Epoch   uint64 // the shard's epoch that the change builds on
	Needed  uint32 // store machines that have to remain
	TermMS  int64  // for which a host is set aside
	Record  consensus.Record
}

// Encode is the command's replicated form.
func (c Command) Encode() []byte {
	var e codec.Encoder
	e.Uint8(uint8(c.Kind))
	switch c.Kind {
	case CommandReplaceConfig:
		e.Uint64(c.Base)
		e.Uint64(c.Version)
		e.Blob(c.Body)
	case CommandPutHost:
		e.Blob(c.Host.Encode())
		e.Uint64(c.Seq)
	case CommandRemoveHost:
		e.String(c.Key)
		e.Bool(c.Final)
	case CommandPutStore, CommandRemoveStore:
		e.Blob(c.Store.Encode())
	case CommandPutShard:
		e.Uint64(c.Epoch)
		e.Blob(c.Shard.Encode())
	case CommandRetire:
		e.String(c.Key)
		e.Uint32(c.Needed)
	case CommandMembers:
		consensus.EncodeRecord(&e, c.Record)
	case CommandSetAside:
		e.String(c.Key)
		e.Int64(c.TermMS)
	case CommandEndAside:
		e.String(c.Key)
	}
	return e.Bytes
}

// DecodeCommand reads a command.
func DecodeCommand(data []byte) (Command, error) {
	d := codec.NewDecoder(data)
	c := Command{Kind: CommandKind(d.Uint8())}
	var err error
	switch c.Kind {
	case CommandReplaceConfig:
		c.Base = d.Uint64()
		c.Version = d.Uint64()
		c.Body = d.Blob()
	case CommandPutHost:
		c.Host, err = directory.DecodeHost(d.Blob())
		c.Seq = d.Uint64()
	case CommandRemoveHost:
		c.Key = d.String()
		c.Final = d.Bool()
	case CommandPutStore, CommandRemoveStore:
		c.Store, err = directory.DecodeStore(d.Blob())
	case CommandPutShard:
		c.Epoch = d.Uint64()
		c.Shard, err = directory.DecodeShard(d.Blob())
	case CommandRetire:
		c.Key = d.String()
		c.Needed = d.Uint32()
	case CommandMembers:
		c.Record = consensus.DecodeRecord(d)
	case CommandSetAside:
		c.Key = d.String()
		c.TermMS = d.Int64()
	case CommandEndAside:
		c.Key = d.String()
	case CommandReadConfig:
	default:
		return c, codes.Malformed
	}
	if err == nil {
		err = d.Err()
	}
	return c, err
}

// Result is what applying a command gave.
type Result struct {
	Code codes.Code
	Body []byte
}
