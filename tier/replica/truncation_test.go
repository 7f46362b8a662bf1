package replica

import (
	"bytes"
	"testing"
)

// blobMachine is a state machine whose state is the last command. It also counts the commands.
type blobMachine struct {
	count uint64
	last  []byte
}

func (m *blobMachine) Apply(_ uint64, command []byte) any {
	m.count++
	m.last = command
	return nil
}

func (m *blobMachine) Snapshot() []byte { return append([]byte(nil), m.last...) }

func (m *blobMachine) Restore(snapshot []byte) error {
	m.last = snapshot
	return nil
}

// retainedBytes returns the size of the data of the entries in memory.
func retainedBytes(g *Group) int {
	total := 0
	for _, entry := range g.log.entries {
		total += len(entry.Data)
	}
	return total
}

// newPrimaryOfTwo returns the primary of a group in which it is the only in-sync replica. Replica 2 has acknowledged the entry that
// opened the epoch.
func newPrimaryOfTwo(t testing.TB, options Options) *Group {
	t.Helper()
	g, err := NewGroup(1, &blobMachine{}, Snapshot{}, nil, options)
	if err != nil {
		t.Fatal(err)
	}
	g.SetView(View{Epoch: 1, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2}}, 10)
	g.MarkDurable(1, 1, 10)
	g.Step(2, Message{Kind: MessageAck, Epoch: 1, Index: 1}, 10)
	g.TakeOutput()
	return g
}

// The primary doesn't retain entries without limit for a replica that acknowledged once and then became silent.
func TestSilentReplicaDoesNotGrowPrimaryMemory(t *testing.T) {
	const retainedLimit = 1 << 20
	g := newPrimaryOfTwo(t, Options{RetainedBytes: retainedLimit})
	command := bytes.Repeat([]byte{1}, 10<<10)
	maxRetained := 0
	for now := int64(11); now < 5011; now++ {
		index := g.Propose(command, now)
		g.MarkDurable(index, 1, now)
		g.Tick(now, true)
		g.TakeOutput()
		g.Trim()
		maxRetained = max(maxRetained, retainedBytes(g))
	}
	if maxRetained > 2*retainedLimit {
		t.Fatalf("up to %d bytes of entries were kept, %d are allowed", maxRetained, retainedLimit)
	}
}

// Uncommitted entries are bounded too: at the bound the primary accepts no more commands.
func TestPrimaryBoundsUncommittedCommands(t *testing.T) {
	const retainedLimit = 1 << 20
	g := newPrimaryOfTwo(t, Options{RetainedBytes: retainedLimit})
	command := bytes.Repeat([]byte{1}, 10<<10)
	proposed := 0
	for g.HasCapacity() && proposed < 10_000 {
		g.Propose(command, 11)
		proposed++
	}
	if held := retainedBytes(g); held < retainedLimit || held > retainedLimit+2*uncommittedSlack {
		t.Fatalf("%d uncommitted bytes are held", held)
	}
	g.MarkDurable(g.LastIndex(), 1, 12)
	if !g.HasCapacity() {
		t.Fatal("no capacity although all commands are committed")
	}
}

// A backup's memory is bounded as well.
func TestBackupMemoryIsBounded(t *testing.T) {
	const retainedLimit = 1 << 20
	g, err := NewGroup(2, &blobMachine{}, Snapshot{}, nil, Options{RetainedBytes: retainedLimit})
	if err != nil {
		t.Fatal(err)
	}
	command := bytes.Repeat([]byte{1}, 100<<10)
	maxRetained := 0
	for index := uint64(1); index <= 1000; index++ {
		g.Step(1, appendFrom(1, index-1, min(index-1, 1), index, Entry{index, 1, command}), int64(index))
		g.MarkDurable(index, 1, int64(index))
		g.TakeOutput()
		g.Trim()
		maxRetained = max(maxRetained, retainedBytes(g))
	}
	if maxRetained > 2*retainedLimit {
		t.Fatalf("up to %d bytes of entries were kept, %d are allowed", maxRetained, retainedLimit)
	}
}

// A replica whose acknowledgements always arrive just after the commit still catches up, because commits wait for it briefly. If
// it stops responding during such a wait, it delays commits only for that time.
func TestReplicaThatFollowsCloselyCatchesUpUnderLoad(t *testing.T) {
	g := newPrimaryOfTwo(t, Options{})
	now := int64(1000)
	step := func() {
		index := g.Propose([]byte("a"), now)
		g.MarkDurable(index, 1, now)
		g.Step(2, Message{Kind: MessageAck, Epoch: 1, Index: index - 1}, now) // one entry behind
		g.Tick(now, true)
		now += 5
	}
	caughtUp := false
	for range 100 {
		step()
		caughtUp = caughtUp || len(g.CaughtUp(now)) == 1
	}
	if !caughtUp {
		t.Fatal("never caught up although it follows closely")
	}
	before := g.commit.committed
	for range catchUpWaitLimit { // the replica stops responding
		index := g.Propose([]byte("a"), now)
		g.MarkDurable(index, 1, now)
		g.Tick(now, true)
		now += 5
	}
	if g.commit.committed < before+100 {
		t.Fatalf("a silent replica delays commits: %d commands committed", g.commit.committed-before)
	}
}

// The unacknowledged entries sent to a replica are bounded, and are not resent too often while acknowledgements are late.
func TestEntriesInFlightAreBounded(t *testing.T) {
	g := newPrimaryOfTwo(t, Options{RetainedBytes: 64 << 20})
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2}}, 1000)
	g.Step(2, Message{Kind: MessageAck, Epoch: 2, Index: 1}, 1000)
	g.TakeOutput()
	command := make([]byte, 100<<10)
	sent := 0
	count := func() {
		for _, out := range g.TakeOutput().Messages {
			sent += sizeOf(out.Message.Entries)
		}
	}
	for range 100 {
		g.Propose(command, 1000)
		count()
	}
	if sent > maxInFlight+maxAppendBytes {
		t.Fatalf("%d bytes are in flight", sent)
	}
	sent = 0
	for now := int64(1000); now < 4000; now += 40 {
		g.Step(2, Message{Kind: MessageChunkAck, Epoch: 2}, now) // the replica responds but acknowledges no entries
		g.Tick(now, true)
		count()
	}
	if sent > 8*maxAppendBytes {
		t.Fatalf("%d bytes were resent in 3 s", sent)
	}
}

// A backup with a stalled disk accepts a bounded amount of unwritten entries, and continues when the disk works again.
func TestBackupWithStalledDiskBoundsUnwrittenEntries(t *testing.T) {
	g, err := NewGroup(2, &blobMachine{}, Snapshot{}, nil, Options{RetainedBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	command := make([]byte, 100<<10)
	unwritten := 0
	var writes []Write
	take := func(index uint64) {
		g.Step(1, appendFrom(1, index-1, min(index-1, 1), index-1, Entry{index, 1, command}), int64(index))
		for _, write := range g.TakeOutput().Writes {
			unwritten += sizeOf(write.Entries)
			writes = append(writes, write)
		}
		g.Trim()
	}
	for index := uint64(1); index <= 1000; index++ {
		take(index)
	}
	if unwritten > maxUnwrittenBytes+2*len(command) {
		t.Fatalf("%d bytes wait for the disk", unwritten)
	}
	held := g.LastIndex()
	for _, write := range writes {
		g.WriteCompleted(write)
	}
	g.MarkDurable(held, 1, 2000)
	take(held + 1)
	if g.LastIndex() != held+1 {
		t.Fatal("no entries are accepted although the disk works again")
	}
}
