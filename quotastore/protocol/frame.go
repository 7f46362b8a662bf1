// Package protocol is the one form of what keepers say to each other, and what guests say to them: api gateways and operators'
// commands. It must never know what becomes of it.
package protocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"otterseam/quotastore/statemachine"
)

const (
	KindHello uint8 = iota + 1
	KindText        // membership
	KindRaft        // a message of the consensus library
	KindLeads
	KindAsks
	KindReplies
	KindAdmin // of an operator
	kindEnd
)

// Frame is one thing said.
type Frame struct {
	Kind    uint8     `cbor:"1,keyasint"`
	Cluster uint64    `cbor:"2,keyasint,omitempty"`
	Life    uint32    `cbor:"3,keyasint"`
	Group   int       `cbor:"4,keyasint,omitempty"`
	Raft    []byte    `cbor:"5,keyasint,omitempty"`
	Asks    []Asked   `cbor:"6,keyasint,omitempty"`
	Replies []Replied `cbor:"7,keyasint,omitempty"`
	Leads   []Leads   `cbor:"8,keyasint,omitempty"`
	Text    string    `cbor:"9,keyasint,omitempty"`
	Hello   *Hello    `cbor:"10,keyasint,omitempty"`
	Admin   *Admin    `cbor:"11,keyasint,omitempty"`
}

// Admin is what an operator's command asks a keeper, and the answer.
type Admin struct {
	What     string                       `cbor:"1,keyasint"` // "who", "found", "save", "take"
	Founding *Founding                    `cbor:"2,keyasint,omitempty"`
	Batch    uint64                       `cbor:"3,keyasint,omitempty"`
	Number   int                          `cbor:"4,keyasint"`
	Life     uint32                       `cbor:"5,keyasint,omitempty"`
	Cluster  uint64                       `cbor:"6,keyasint,omitempty"`
	Health   []Health                     `cbor:"7,keyasint,omitempty"`
	States   map[int][]byte               `cbor:"8,keyasint,omitempty"`
	Uses     []statemachine.CustomerUsage `cbor:"9,keyasint,omitempty"`
	Err      string                       `cbor:"10,keyasint,omitempty"`
}

// Guest is the number of one who speaks and is no keeper: an api gateway, or an operator's command.
const Guest = -1

// Hello says who speaks.
type Hello struct {
	Number int    `cbor:"1,keyasint"`
	Life   uint32 `cbor:"2,keyasint"`
	Bulk   bool   `cbor:"3,keyasint,omitempty"`
}

// Leads says that the sender leads a group, and who holds it.
type Leads struct {
	Group   int      `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Index   uint64   `cbor:"3,keyasint"`
	Members []uint64 `cbor:"4,keyasint"`
}

// Asked is something wanted of a group; its number names it in the reply.
type Asked struct {
	Group  int                  `cbor:"1,keyasint"`
	Number uint64               `cbor:"2,keyasint"`
	Entry  statemachine.Command `cbor:"3,keyasint"`
}

// Replied is what became of it.
type Replied struct {
	Group     int                `cbor:"1,keyasint"`
	Number    uint64             `cbor:"2,keyasint"`
	NotLeader bool               `cbor:"3,keyasint,omitempty"` // it was not proposed here
	Lead      int                `cbor:"4,keyasint"`           // who leads, as far as is known; -1: nobody
	Reply     statemachine.Reply `cbor:"5,keyasint"`
	Unknown   bool               `cbor:"6,keyasint,omitempty"` // to a guest: it may have been done, or may yet be
}

// Longest is the longest frame, in bytes.
const Longest = 64 << 20

var frames, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()

// Bytes is its encoded form.
func (f *Frame) Bytes() ([]byte, error) { return cbor.Marshal(f) }

// Append puts it behind b as it goes on a stream: its length in four bytes, then its encoded form.
func (f *Frame) Append(b []byte) ([]byte, error) {
	body, err := f.Bytes()
	if err != nil {
		return b, err
	}
	if len(body) > Longest {
		return b, fmt.Errorf("a frame of %d bytes is longer than any may be", len(body))
	}
	return append(binary.BigEndian.AppendUint32(b, uint32(len(body))), body...), nil
}

// ReadBody reads the encoded form of the next frame on a stream, of at most so many bytes. Its room grows with what comes, so
// that a length alone takes no memory.
func ReadBody(r io.Reader, most uint32) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > most {
		return nil, fmt.Errorf("a frame of %d bytes", n)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(body) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// Read reads the next frame on a stream.
func Read(r io.Reader, most uint32) (*Frame, error) {
	body, err := ReadBody(r, most)
	if err != nil {
		return nil, err
	}
	return ReadFrame(body)
}

// ReadFrame reads one.
func ReadFrame(text []byte) (*Frame, error) {
	f := &Frame{}
	if err := frames.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("frame: %w", err)
	}
	if f.Kind == 0 || f.Kind >= kindEnd || f.Kind == KindHello && f.Hello == nil || f.Kind == KindAdmin && f.Admin == nil {
		return nil, errors.New("frame: of no kind that is known")
	}
	return f, nil
}

// Greeting is the hello of one who is no keeper.
func Greeting() *Frame { return &Frame{Kind: KindHello, Hello: &Hello{Number: Guest}} }

// Asks and Replies are what a guest wants, and what became of it.
func Asks(all []Asked) *Frame      { return &Frame{Kind: KindAsks, Asks: all} }
func Replies(all []Replied) *Frame { return &Frame{Kind: KindReplies, Replies: all} }

// Administer is a frame of an operator's command, or its answer.
func Administer(a *Admin) *Frame { return &Frame{Kind: KindAdmin, Admin: a} }

// ID is a keeper's name in a group: its number and its life. One that has lost what it held has another life, and so never
// votes or acknowledges for the one before.
type ID uint64

// MakeID makes one.
func MakeID(number int, life uint32) ID { return ID(uint64(life)<<8 | uint64(number+1)) }

// Number is the keeper's place in the list, Life which of its lives.
func (id ID) Number() int  { return int(id&0xff) - 1 }
func (id ID) Life() uint32 { return uint32(id >> 8) }

// Founding is what begins an installation: who is there, each in the life it has now.
type Founding struct {
	Cluster uint64 `cbor:"1,keyasint"`
	Members []ID   `cbor:"2,keyasint"`
	Groups  int    `cbor:"3,keyasint"`
	Copies  int    `cbor:"4,keyasint"`
	// States are what the groups begin with, from an operator's snapshot; none: empty.
	States map[int][]byte `cbor:"5,keyasint,omitempty"`
}

// Health is how one group stands as seen by a keeper.
type Health struct {
	Group   int
	Leads   bool
	Leader  int // number of the keeper that leads; -1: none is known
	Held    bool
	Holders []ID // as the leader here has them
	Settled bool // nobody is joining or leaving
	Alive   bool // all of them answer
	Away    bool // calls for it are turned away
	Names   int
	Index   uint64
}
