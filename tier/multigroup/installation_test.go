package multigroup

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/codes"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

const testGroup = 3

type silentMachine struct{}

func (silentMachine) Apply(uint64, []byte) any { return nil }
func (silentMachine) Snapshot() []byte         { return nil }
func (silentMachine) Restore([]byte) error     { return nil }

func openTestHost(t *testing.T, dir string) (*Node, *test.Hook) {
	t.Helper()
	logger, hook := test.NewNullLogger()
	host, err := Open(dir, rpc.NewClients(nil), logrus.NewEntry(logger), false)
	if err != nil {
		t.Fatal(err)
	}
	if err := host.OpenGroup(testGroup, silentMachine{}, replica.Options{}); err != nil {
		t.Fatal(err)
	}
	return host, hook
}

// appendTo is a message from a primary that puts one entry into the log of another host's replica.
func appendTo(from, to *Node, index uint64) []byte {
	message := replica.Message{
		Kind: replica.MessageAppend, Epoch: 1, Index: index - 1, PrevEpoch: min(index-1, 1),
		Entries: []replica.Entry{{Index: index, Epoch: 1, Data: []byte("a")}},
	}
	return from.encodeMessage(testGroup, replica.Outgoing{To: to.Identity, Message: message})
}

func lastIndex(h *Node) (last uint64) {
	h.WithGroup(testGroup, func(g *replica.Group) { last = g.LastIndex() })
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

// A member takes nothing from a process of another installation, names it with a code, and remembers its own over a restart.
func TestAnotherInstallationIsRefused(t *testing.T) {
	dir := t.TempDir()
	member, _ := openTestHost(t, dir)
	own, _ := openTestHost(t, t.TempDir())
	other, _ := openTestHost(t, t.TempDir())
	own.BindCluster(7)
	other.BindCluster(8)
	member.HandleMessage(appendTo(own, member, 1), nil)
	if lastIndex(member) != 1 || member.ClusterID() != 7 {
		t.Fatalf("last entry %d, installation %d", lastIndex(member), member.ClusterID())
	}
	again, hook := openTestHost(t, dir)
	again.HandleMessage(appendTo(other, again, 2), nil)
	again.HandleMessage(appendTo(other, again, 2), nil)
	if lastIndex(again) != 0 || again.ClusterID() != 7 {
		t.Fatalf("last entry %d, installation %d", lastIndex(again), again.ClusterID())
	}
	if got := namedCodes(hook); len(got) != 1 || got[0] != codes.DiskForeign {
		t.Fatalf("named: %v", got)
	}
	if again.BindCluster(8) || !again.BindCluster(7) {
		t.Fatal("bound to a second installation")
	}
}

// A member whose disk was replaced by an older copy of it is found out by those that heard of its later starts.
func TestAnOlderCopyOfADiskIsFoundOut(t *testing.T) {
	member, hook := openTestHost(t, t.TempDir())
	dir, saved := t.TempDir(), t.TempDir()
	openTestHost(t, dir)
	if err := os.CopyFS(filepath.Join(saved, "copy"), os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	openTestHost(t, dir)
	primary, _ := openTestHost(t, dir)
	member.HandleMessage(appendTo(primary, member, 1), nil)
	if lastIndex(member) != 1 {
		t.Fatal("a message was not taken")
	}
	older, _ := openTestHost(t, filepath.Join(saved, "copy"))
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
