package multigroup

import (
	"context"
	"encoding/binary"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/internal/recorded"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/storage"
)

const (
	recordedIdentity  = uint64(0x0102030405060709)
	recordedClusterID = uint64(0xfedcba9876543210)
	recordedReceiver  = uint64(0x1112131415161719)
	recordedGroup     = uint32(0x01020304)
)

// recordedValues maps the value files of a bound node after its second start to their recordings.
var recordedValues = map[string]string{
	"identity-0000000000000001":     "identity",
	"installation-0000000000000001": "installation",
	"starts-0000000000000001":       "starts-1",
	"starts-0000000000000002":       "starts-2",
}

func openRecorded(t *testing.T, dir string) *Node {
	t.Helper()
	logger, _ := test.NewNullLogger()
	node, err := Open(dir, rpc.NewClients(nil), logrus.NewEntry(logger), false)
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// restoreFiles writes recordings into a folder, by file name.
func restoreFiles(t *testing.T, dir string, files map[string]string) {
	t.Helper()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for file, name := range files {
		if err := os.WriteFile(filepath.Join(dir, file), recorded.Read(t, name), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

func checkFile(t *testing.T, name, path string) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, name, content)
}

// newBoundNode returns a node with a fixed identity and cluster ID, at its second start.
func newBoundNode(t *testing.T, dir string) *Node {
	t.Helper()
	values, err := storage.OpenValues(filepath.Join(dir, "values"))
	if err != nil {
		t.Fatal(err)
	}
	if err := values.Write(identityValue, binary.BigEndian.AppendUint64(nil, recordedIdentity)); err != nil {
		t.Fatal(err)
	}
	if first := openRecorded(t, dir); !first.BindCluster(recordedClusterID) {
		t.Fatal("an empty disk was not bound to the cluster")
	}
	return openRecorded(t, dir)
}

func TestRecordedValues(t *testing.T) {
	dir := t.TempDir()
	newBoundNode(t, dir)
	files, err := os.ReadDir(filepath.Join(dir, "values"))
	if err != nil || len(files) != len(recordedValues) {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for file, name := range recordedValues {
		checkFile(t, name, filepath.Join(dir, "values", file))
	}

	restored := t.TempDir()
	restoreFiles(t, filepath.Join(restored, "values"), recordedValues)
	node := openRecorded(t, restored)
	if node.Identity != recordedIdentity || node.ClusterID() != recordedClusterID || node.disk.starts != 3 {
		t.Fatalf("identity %x, cluster %x, start %d", node.Identity, node.ClusterID(), node.disk.starts)
	}
}

// A generated identity is stored in the same format as the recorded one.
func TestRecordedFormatOfNewIdentity(t *testing.T) {
	dir := t.TempDir()
	node := openRecorded(t, dir)
	values, err := storage.OpenValues(filepath.Join(dir, "values"))
	if err != nil {
		t.Fatal(err)
	}
	content, err := values.Read("identity")
	if err != nil || len(content) != 8 || binary.BigEndian.Uint64(content) != node.Identity {
		t.Fatalf("stored %x, %v", content, err)
	}
}

func recordedAppend() replica.Outgoing {
	return replica.Outgoing{To: recordedReceiver, Message: replica.Message{
		Kind: replica.MessageAppend, Epoch: 1, Commit: 1,
		Entries: []replica.Entry{{Index: 1, Epoch: 1, Data: []byte("one")}, {Index: 2, Epoch: 1, Data: []byte("two")}},
	}}
}

// A message between replicas is encoded with its header as recorded, and the recording is decoded.
func TestRecordedMessage(t *testing.T) {
	node := newBoundNode(t, t.TempDir())
	recorded.Check(t, "message", node.encodeMessage(recordedGroup, recordedAppend()))

	receiver := openRecorded(t, t.TempDir())
	receiver.Identity = recordedReceiver
	if err := receiver.OpenGroup(recordedGroup, noopMachine{}, replica.Options{}); err != nil {
		t.Fatal(err)
	}
	receiver.HandleMessage(recorded.Read(t, "message"), func(group uint32) { t.Errorf("group %x is unknown", group) })
	view, last := replica.View{}, uint64(0)
	receiver.WithGroup(recordedGroup, func(g *replica.Group) { view, last = g.View(), g.LastIndex() })
	if view.Primary != recordedIdentity || view.Epoch != 1 || last != 2 {
		t.Fatalf("view %+v, last entry %d", view, last)
	}
	if receiver.ClusterID() != recordedClusterID || receiver.disk.knownStarts[recordedIdentity] != 2 {
		t.Fatalf("cluster %x, starts %v", receiver.ClusterID(), receiver.disk.knownStarts)
	}
	if KindReplica != 10 {
		t.Errorf("kind %d", KindReplica)
	}
}

// The records that a node writes into its journal are as recorded, and its groups are read back from the recording.
func TestRecordedJournal(t *testing.T) {
	const segment = "segment-0000000000000001"
	dir := t.TempDir()
	node := openRecorded(t, dir)
	queue := []pendingWrite{
		{group: &openGroup{id: 4}, write: replica.Write{Entries: []replica.Entry{{Index: 1, Epoch: 1, Data: []byte("gone")}}}},
		{group: &openGroup{id: 3}, write: replica.Write{
			Snapshot: &replica.Snapshot{Index: 7, Epoch: 2, State: []byte("a state")},
			Entries:  []replica.Entry{{Index: 8, Epoch: 2, Data: []byte("eight")}, {Index: 9, Epoch: 3, Data: []byte("nine")}},
		}},
		{group: &openGroup{id: 4}, dropped: true},
	}
	if err := node.writer.journal.Append(journalRecords(queue)); err != nil {
		t.Fatal(err)
	}
	checkFile(t, "journal", filepath.Join(dir, "journal", segment))

	restored := t.TempDir()
	restoreFiles(t, filepath.Join(restored, "journal"), map[string]string{segment: "journal"})
	found := openRecorded(t, restored).unopened
	want := map[uint32]*storage.GroupLog{3: {
		Snapshot: []byte("a state"), SnapshotIndex: 7, SnapshotEpoch: 2,
		Entries: []storage.Record{
			{Kind: storage.RecordEntry, Group: 3, Index: 8, Epoch: 2, Data: []byte("eight")},
			{Kind: storage.RecordEntry, Group: 3, Index: 9, Epoch: 3, Data: []byte("nine")},
		},
	}}
	if !reflect.DeepEqual(found, want) {
		t.Fatalf("found %+v", found)
	}
}

// A group that is opened from the recorded journal is compacted into a journal as recorded.
func TestRecordedCompaction(t *testing.T) {
	dir := t.TempDir()
	restoreFiles(t, filepath.Join(dir, "journal"), map[string]string{"segment-0000000000000001": "journal"})
	node := openRecorded(t, dir)
	machine := &recordedMachine{}
	if err := node.OpenGroup(3, machine, replica.Options{}); err != nil {
		t.Fatal(err)
	}
	node.compactJournal()
	checkFile(t, "journal-rewritten", filepath.Join(dir, "journal", "segment-0000000000000003"))
	if string(machine.state) != "a state" {
		t.Fatalf("restored %q", machine.state)
	}
}

// The journal that the writer writes for a received message is as recorded.
func TestRecordedWriteOfReceivedMessage(t *testing.T) {
	dir := t.TempDir()
	receiver := openRecorded(t, dir)
	receiver.Identity = recordedReceiver
	if err := receiver.OpenGroup(recordedGroup, noopMachine{}, replica.Options{}); err != nil {
		t.Fatal(err)
	}
	receiver.HandleMessage(recorded.Read(t, "message"), nil)
	if !receiver.writeOnce(context.Background()) {
		t.Fatal("nothing was written")
	}
	checkFile(t, "journal-of-message", filepath.Join(dir, "journal", "segment-0000000000000001"))
}

// recordedMachine stores the state that it was restored from.
type recordedMachine struct{ state []byte }

func (m *recordedMachine) Apply(uint64, []byte) any { return nil }
func (m *recordedMachine) Snapshot() []byte         { return m.state }
func (m *recordedMachine) Restore(state []byte) error {
	m.state = append([]byte(nil), state...)
	return nil
}
