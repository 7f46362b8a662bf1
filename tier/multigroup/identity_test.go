package multigroup

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/codes"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

const testGroup = 3

type noopMachine struct{}

func (noopMachine) Apply(uint64, []byte) any { return nil }
func (noopMachine) Snapshot() []byte         { return nil }
func (noopMachine) Restore([]byte) error     { return nil }

func openTestNode(t *testing.T, dir string) (*Node, *test.Hook) {
	t.Helper()
	logger, hook := test.NewNullLogger()
	node, err := Open(dir, rpc.NewClients(nil), logrus.NewEntry(logger), false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Close() })
	if err := node.OpenGroup(testGroup, noopMachine{}, replica.Options{}); err != nil {
		t.Fatal(err)
	}
	return node, hook
}

// encodeAppend encodes a message from a primary that appends one entry to the log of another node's replica.
func encodeAppend(from, to *Node, index uint64) []byte {
	message := replica.Message{
		Kind: replica.MessageAppend, Epoch: 1, Index: index - 1, PrevEpoch: min(index-1, 1),
		Entries: []replica.Entry{{Index: index, Epoch: 1, Data: []byte("a")}},
	}
	return from.encodeMessage(testGroup, replica.Outgoing{To: to.Identity, Message: message})
}

func lastIndex(n *Node) (last uint64) {
	n.WithGroup(testGroup, func(g *replica.Group) { last = g.LastIndex() })
	return last
}

func loggedCodes(hook *test.Hook) (found []codes.Code) {
	for _, entry := range hook.AllEntries() {
		if code, is := entry.Data["code"].(uint16); is {
			found = append(found, codes.Code(code))
		}
	}
	return found
}

// A member drops messages of another cluster and logs them once with a code. It still has its own cluster ID after a restart.
func TestMessagesOfAnotherClusterAreDropped(t *testing.T) {
	dir := t.TempDir()
	member, _ := openTestNode(t, dir)
	own, _ := openTestNode(t, t.TempDir())
	other, _ := openTestNode(t, t.TempDir())
	own.BindCluster(7)
	other.BindCluster(8)
	member.HandleMessage(encodeAppend(own, member, 1), nil)
	if lastIndex(member) != 1 || member.ClusterID() != 7 {
		t.Fatalf("last entry %d, cluster %d", lastIndex(member), member.ClusterID())
	}
	restarted, hook := openTestNode(t, dir)
	restarted.HandleMessage(encodeAppend(other, restarted, 2), nil)
	restarted.HandleMessage(encodeAppend(other, restarted, 2), nil)
	if lastIndex(restarted) != 0 || restarted.ClusterID() != 7 {
		t.Fatalf("last entry %d, cluster %d", lastIndex(restarted), restarted.ClusterID())
	}
	if got := loggedCodes(hook); len(got) != 1 || got[0] != codes.DiskForeign {
		t.Fatalf("logged codes: %v", got)
	}
	if restarted.BindCluster(8) || !restarted.BindCluster(7) {
		t.Fatal("bound to a second cluster")
	}
}

// A node whose disk was replaced by an older copy is detected by members that received messages of its later starts.
func TestRestoredOldDiskIsDetected(t *testing.T) {
	member, hook := openTestNode(t, t.TempDir())
	dir, saved := t.TempDir(), t.TempDir()
	openTestNode(t, dir)
	if err := os.CopyFS(filepath.Join(saved, "copy"), os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	openTestNode(t, dir)
	primary, _ := openTestNode(t, dir)
	member.HandleMessage(encodeAppend(primary, member, 1), nil)
	if lastIndex(member) != 1 {
		t.Fatal("a message of the newest start was not accepted")
	}
	older, _ := openTestNode(t, filepath.Join(saved, "copy"))
	if older.Identity != primary.Identity {
		t.Fatal("the copy has another identity")
	}
	member.HandleMessage(encodeAppend(older, member, 2), nil)
	if lastIndex(member) != 1 {
		t.Fatal("a message of a node with an older copy of its disk was accepted")
	}
	if got := loggedCodes(hook); len(got) != 1 || got[0] != codes.DiskRegressed {
		t.Fatalf("logged codes: %v", got)
	}
}

// A member detects an older copy of a disk also after its own restart, from the start counts that it stored. Their encoding is as
// recorded.
func TestRestoredOldDiskIsDetectedAfterRestart(t *testing.T) {
	memberDir, dir, saved := t.TempDir(), t.TempDir(), t.TempDir()
	member, _ := openTestNode(t, memberDir)
	openTestNode(t, dir)
	if err := os.CopyFS(filepath.Join(saved, "copy"), os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	openTestNode(t, dir)
	primary, _ := openTestNode(t, dir)
	member.HandleMessage(encodeAppend(primary, member, 1), nil)
	member.disk.saveKnownStarts()
	recorded.Check(t, "known-starts", encodeKnownStarts(map[uint64]uint64{9: 3, 5: 1}))

	restarted, hook := openTestNode(t, memberDir)
	older, _ := openTestNode(t, filepath.Join(saved, "copy"))
	restarted.HandleMessage(encodeAppend(older, restarted, 1), nil)
	if lastIndex(restarted) != 0 {
		t.Fatal("a message of a node with an older copy of its disk was accepted")
	}
	if got := loggedCodes(hook); len(got) != 1 || got[0] != codes.DiskRegressed {
		t.Fatalf("logged codes: %v", got)
	}
}
