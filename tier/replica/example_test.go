package replica_test

import (
	"fmt"

	"otterseam/tier/replica"
)

// wordList is a state machine that collects words.
type wordList struct{ all []string }

func (w *wordList) Apply(_ uint64, command []byte) any {
	w.all = append(w.all, string(command))
	return len(w.all)
}
func (w *wordList) Snapshot() []byte              { return nil }
func (w *wordList) Restore(snapshot []byte) error { return nil }

// A primary commits a command once it and every in-sync backup have it on disk. The caller delivers the messages and performs the
// writes.
func Example() {
	primary, _ := replica.NewGroup(1, &wordList{}, replica.Snapshot{}, nil, replica.Options{})
	backup, _ := replica.NewGroup(2, &wordList{}, replica.Snapshot{}, nil, replica.Options{})
	now := int64(1000)
	primary.SetView(replica.View{Epoch: 1, Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2}}, now)
	deliver := func(from *replica.Group, id uint64, to *replica.Group) []replica.Applied {
		output := from.TakeOutput()
		for _, out := range output.Messages {
			to.Step(id, out.Message, now)
		}
		return output.Applied
	}
	// The entry that opens the epoch becomes durable on both disks.
	primary.MarkDurable(1, 1, now)
	deliver(primary, 1, backup)
	backup.MarkDurable(1, 1, now)
	deliver(backup, 2, primary)

	index := primary.Propose([]byte("hello"), now)
	primary.MarkDurable(index, 1, now)
	fmt.Println("on the primary's disk only:", len(deliver(primary, 1, backup)), "committed")
	backup.MarkDurable(index, 1, now)
	deliver(backup, 2, primary)
	for _, applied := range deliver(primary, 1, backup) {
		fmt.Printf("on both disks: %s committed, result %v\n", applied.Command, applied.Result)
	}
	// Output:
	// on the primary's disk only: 0 committed
	// on both disks: hello committed, result 1
}
