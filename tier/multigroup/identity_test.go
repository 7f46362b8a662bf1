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

type silentMachine struct{}

func (silentMachine) Apply(uint64, []byte) any { return nil }
func (silentMachine) Snapshot() []byte         { return nil }
func (silentMachine) Restore([]byte) error     { return nil }

func openTestNode(t *testing.T, dir string) (*Node, *test.Hook) {
	t.Helper()
	logger, hook := test.NewNullLogger()
	node, err := Open(dir, rpc.NewClients(nil), logrus.NewEntry(logger), false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Close() })
	if err := node.OpenGroup(testGroup, silentMachine{}, replica.Options{}); err != nil {
		t.Fatal(err)
	}
	return node, hook
}

// appendTo is a message from a primary that puts one entry into the log of another node's replica.
func appendTo(from, to *Node, index uint64) []byte {
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

func namedCodes(hook *test.Hook) (found []codes.Code) {
	for _, entry := range hook.AllEntries() {
		if code, is := entry.Data["code"].(uint16); is {
			found = append(found, codes.Code(code))
		}
	}
	return found
}

// A member takes nothing from a process of another cluster, names it with a code, and remembers its own over a restart.
func TestMessagesOfAnotherClusterAreDropped(t *testing.T) {
	dir := t.TempDir()
	member, _ := openTestNode(t, dir)
	own, _ := openTestNode(t, t.TempDir())
	other, _ := openTestNode(t, t.TempDir())
	own.BindCluster(7)
	other.BindCluster(8)
	member.HandleMessage(appendTo(own, member, 1), nil)
	if lastIndex(member) != 1 || member.ClusterID() != 7 {
		t.Fatalf("last entry %d, cluster %d", lastIndex(member), member.ClusterID())
	}
	again, hook := openTestNode(t, dir)
	again.HandleMessage(appendTo(other, again, 2), nil)
	again.HandleMessage(appendTo(other, again, 2), nil)
	if lastIndex(again) != 0 || again.ClusterID() != 7 {
		t.Fatalf("last entry %d, cluster %d", lastIndex(again), again.ClusterID())
	}
	if got := namedCodes(hook); len(got) != 1 || got[0] != codes.DiskForeign {
		t.Fatalf("named: %v", got)
	}
	if again.BindCluster(8) || !again.BindCluster(7) {
		t.Fatal("bound to a second cluster")
	}
}

// A member whose disk was replaced by an older copy of it is detected by those that heard of its later starts.
func TestAnOlderCopyOfADiskIsDetected(t *testing.T) {
	member, hook := openTestNode(t, t.TempDir())
	dir, saved := t.TempDir(), t.TempDir()
	openTestNode(t, dir)
	if err := os.CopyFS(filepath.Join(saved, "copy"), os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	openTestNode(t, dir)
	primary, _ := openTestNode(t, dir)
	member.HandleMessage(appendTo(primary, member, 1), nil)
	if lastIndex(member) != 1 {
		t.Fatal("a message was not taken")
	}
	older, _ := openTestNode(t, filepath.Join(saved, "copy"))
	if older.Identity != primary.Identity {
		t.Fatal("the copy has another identity")
	}
	member.HandleMessage(appendTo(older, member, 2), nil)
	if lastIndex(member) != 1 {
		t.Fatal("an older copy of the disk was heeded")
	}
	if got := namedCodes(hook); len(got) != 1 || got[0] != codes.DiskRegressed {
		t.Fatalf("named: %v", got)
	}
}

// A member that was itself started again still knows of the later start; what it keeps has the recorded bytes.
func TestAnOlderCopyOfADiskIsDetectedAfterARestart(t *testing.T) {
	memberDir, dir, saved := t.TempDir(), t.TempDir(), t.TempDir()
	member, _ := openTestNode(t, memberDir)
	openTestNode(t, dir)
	if err := os.CopyFS(filepath.Join(saved, "copy"), os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	openTestNode(t, dir)
	primary, _ := openTestNode(t, dir)
	member.HandleMessage(appendTo(primary, member, 1), nil)
	member.disk.saveKnownStarts()
	recorded.Check(t, "known-starts", encodeKnownStarts(map[uint64]uint64{9: 3, 5: 1}))

	again, hook := openTestNode(t, memberDir)
	older, _ := openTestNode(t, filepath.Join(saved, "copy"))
	again.HandleMessage(appendTo(older, again, 1), nil)
	if lastIndex(again) != 0 {
		t.Fatal("an older copy of the disk was heeded")
	}
	if got := namedCodes(hook); len(got) != 1 || got[0] != codes.DiskRegressed {
		t.Fatalf("named: %v", got)
	}
}
