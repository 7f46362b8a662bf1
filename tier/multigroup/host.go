// Package multigroup carries out what replicas decide: it keeps the replicas of many groups in one process, makes their writes
// durable in group commits, sends their messages and hands results to those who wait for them.
package multigroup

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/storage"
)

// KindReplica is a message between replicas.
const KindReplica rpc.Kind = 10

const (
	tickEvery     = 40 * time.Millisecond
	writeRetry    = 100 * time.Millisecond
	identityValue = "identity"
	// transfersAtOnce is how many snapshots a process sends at once, whatever the number of its groups.
	transfersAtOnce = 2
)

// Now is the steady clock in milliseconds, as the replicas count it.
func Now() int64 { return time.Since(started).Milliseconds() + clockBase }

var started = time.Now()

// clockBase keeps the steady clock away from 0, which stands for "never".
const clockBase = 1 << 20

type waiter struct {
	epoch  uint64
	result chan any
}

type hosted struct {
	id      uint32
	group   *replica.Group
	waiters map[uint64]waiter
}

// pendingWrite is a write of a group, or the note that the group is no longer held.
type pendingWrite struct {
	group   *hosted
	write   replica.Write
	dropped bool
}

// Node holds the replicas of a process.
type Node struct {
	Identity uint64
	Values   *storage.Values

	origin     *origin
	journal    *storage.Journal
	found      map[uint32]*storage.GroupLog
	clients    *rpc.Clients
	log        *logrus.Entry
	heartbeats bool
	slots      *replica.TransferSlots

	mu        sync.Mutex
	groups    map[uint32]*hosted
	addresses map[uint64]string
	queue     []pendingWrite
	disk      DiskMonitor
	wake      chan struct{}
}

// Open reads the folder. A process whose folder holds no identity draws one: it is a new member, whatever its address.
func Open(dir string, clients *rpc.Clients, log *logrus.Entry, heartbeats bool) (*Node, error) {
	values, err := storage.OpenValues(filepath.Join(dir, "values"))
	if err != nil {
		return nil, oops.Wrapf(err, "data_dir")
	}
	journal, records, err := storage.OpenJournal(filepath.Join(dir, "journal"))
	if err != nil {
		return nil, oops.Wrapf(err, "journal")
	}
	h := &Node{
		Values:     values,
		journal:    journal,
		found:      storage.FoldRecords(records),
		clients:    clients,
		log:        log,
		heartbeats: heartbeats,
		slots:      replica.NewTransferSlots(transfersAtOnce),
		groups:     map[uint32]*hosted{},
		addresses:  map[uint64]string{},
		wake:       make(chan struct{}, 1),
	}
	if h.Identity, err = identity(values); err != nil {
		return nil, err
	}
	if h.origin, err = openOrigin(values, log); err != nil {
		return nil, err
	}
	return h, nil
}

func identity(values *storage.Values) (uint64, error) {
	content, err := values.Read(identityValue)
	if err != nil {
		return 0, err
	}
	if len(content) == 8 {
		return binary.BigEndian.Uint64(content), nil
	}
	drawn := rand.Uint64() | 1
	return drawn, values.Write(identityValue, binary.BigEndian.AppendUint64(nil, drawn))
}

// UnopenedGroups lists the groups whose state is on disk and not yet open.
func (h *Node) UnopenedGroups() []uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []uint32
	for id := range h.found {
		ids = append(ids, id)
	}
	return ids
}

// OpenGroup makes the replica of a group from what is on disk.
func (h *Node) OpenGroup(id uint32, machine replica.StateMachine, options replica.Options) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.groups[id] != nil {
		return nil
	}
	options.TransferSlots = h.slots
	var base replica.Snapshot
	var entries []replica.Entry
	if log := h.found[id]; log != nil {
		base = replica.Snapshot{Index: log.SnapshotIndex, Epoch: log.SnapshotEpoch, State: log.Snapshot}
		for _, record := range log.Entries {
			entries = append(entries, replica.Entry{Index: record.Index, Epoch: record.Epoch, Data: record.Data})
		}
		delete(h.found, id)
	}
	group, err := replica.NewGroup(h.Identity, machine, base, entries, options)
	if err != nil {
		return oops.Wrapf(err, "group %d", id)
	}
	h.groups[id] = &hosted{id: id, group: group, waiters: map[uint64]waiter{}}
	return nil
}

// DropGroup forgets a group's replica and its disk state.
func (h *Node) DropGroup(id uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[id]; g != nil {
		g.failWaiters()
		g.group.Close()
		delete(h.groups, id)
		h.queue = append(h.queue, pendingWrite{group: g, dropped: true})
		h.wakeWriter()
	}
}

// HasGroup tells whether a replica of the group is open.
func (h *Node) HasGroup(id uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groups[id] != nil
}

// SetAddress tells where a replica is reached.
func (h *Node) SetAddress(identity uint64, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addresses[identity] = address
}

// WithGroup runs a function on a group under the lock and carries out what follows.
func (h *Node) WithGroup(id uint32, use func(*replica.Group)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[id]
	if g == nil {
		return false
	}
	use(g.group)
	h.carryOut(g)
	return true
}

// SetView tells a group's view.
func (h *Node) SetView(id uint32, view replica.View) {
	h.WithGroup(id, func(g *replica.Group) { g.SetView(view, Now()) })
}

// IsPrimary tells whether commands for the group are taken here.
func (h *Node) IsPrimary(id uint32) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[id]
	return g != nil && g.group.IsReady()
}

// Submit proposes a command and waits until it is committed. NotPrimary says that it was not proposed; Timeout that it may
// or may not be committed; Unavailable that too much waits to be committed and nothing was proposed.
func (h *Node) Submit(ctx context.Context, id uint32, command []byte) (any, error) {
	h.mu.Lock()
	g := h.groups[id]
	if g == nil || !g.group.IsReady() {
		h.mu.Unlock()
		return nil, codes.NotPrimary
	}
	if !g.group.HasCapacity() {
		h.mu.Unlock()
		return nil, codes.Unavailable
	}
	index := g.group.Propose(command, Now())
	result := make(chan any, 1)
	g.waiters[index] = waiter{epoch: g.group.View().Epoch, result: result}
	h.carryOut(g)
	h.mu.Unlock()
	select {
	case got, open := <-result:
		if !open {
			return nil, codes.Timeout
		}
		return got, nil
	case <-ctx.Done():
		h.mu.Lock()
		delete(g.waiters, index)
		h.mu.Unlock()
		return nil, codes.Timeout
	}
}

func (g *hosted) failWaiters() {
	for index, waiting := range g.waiters {
		close(waiting.result)
		delete(g.waiters, index)
	}
}

// carryOut does what a group's events ask for; the lock is held.
func (h *Node) carryOut(g *hosted) {
	output := g.group.TakeOutput()
	if output.SteppedDown {
		g.failWaiters()
	}
	for _, write := range output.Writes {
		h.queue = append(h.queue, pendingWrite{group: g, write: write})
	}
	if len(output.Writes) > 0 {
		h.wakeWriter()
	}
	for _, id := range output.Regressed {
		h.log.WithFields(logrus.Fields{"code": uint16(codes.DiskRegressed), "group": g.id, "member": id}).Error(
			"a member's log ends before what it acknowledged: an older copy of its disk was put back")
	}
	for _, out := range output.Messages {
		h.sendMessage(g.id, out)
	}
	for _, applied := range output.Applied {
		if waiting, found := g.waiters[applied.Index]; found {
			delete(g.waiters, applied.Index)
			waiting.result <- applied.Result
		}
	}
	g.group.Trim()
}

func (h *Node) wakeWriter() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Node) sendMessage(group uint32, out replica.Outgoing) {
	address := h.addresses[out.To]
	if address == "" {
		return
	}
	h.clients.To(address).Send(KindReplica, h.encodeMessage(group, out))
}

func (h *Node) encodeMessage(group uint32, out replica.Outgoing) []byte {
	var e codec.Encoder
	e.Uint32(group)
	e.Uint64(h.ClusterID())
	e.Uint64(h.Identity)
	e.Uint64(h.origin.starts)
	e.Uint64(out.To)
	out.Message.Encode(&e)
	return e.Bytes
}

// HandleMessage takes a message between replicas. Those for another identity, of another installation, of an earlier start of
// the sender, or for a group that is not held, are dropped.
// unknown is called for a group that is not open.
func (h *Node) HandleMessage(payload []byte, unknown func(group uint32)) {
	d := codec.NewDecoder(payload)
	id := d.Uint32()
	installation := d.Uint64()
	from := d.Uint64()
	starts := d.Uint64()
	to := d.Uint64()
	message := replica.DecodeMessage(d)
	if d.Err() != nil || to != h.Identity || !h.origin.accepts(installation, from, starts) {
		return
	}
	if !h.HasGroup(id) && unknown != nil {
		unknown(id)
	}
	h.WithGroup(id, func(g *replica.Group) { g.Step(from, message, Now()) })
}

// Run writes and ticks until the context ends.
func (h *Node) Run(ctx context.Context) {
	go h.writeLoop(ctx)
	periodic.Run(ctx, tickEvery, h.tick)
}

func (h *Node) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := Now()
	for _, g := range h.groups {
		g.group.Tick(now, h.heartbeats)
		h.carryOut(g)
	}
}
