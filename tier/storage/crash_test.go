package storage

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
)

const (
	crashFolder   = "/journal"
	partsADisk    = 4 // draws of what a loss of power leaves in part
	snapshotBytes = 700
)

// journalStep is one call of the journal: a group commit, a compaction into the present state, or another start of the process,
// which begins another segment.
type journalStep struct {
	records []Record
	compact bool
	restart bool
}

// crashWorkload is what a node does that writes entries, compacts, is sent a snapshot while it lags, compacts again and goes on.
func crashWorkload() []journalStep {
	var steps []journalStep
	commit := func(records ...Record) { steps = append(steps, journalStep{records: records}) }
	restart := func() { steps = append(steps, journalStep{restart: true}) }
	compact := func() { steps = append(steps, journalStep{compact: true}) }
	for i := uint64(1); i <= 4; i++ {
		commit(entry(1, i, 1, fmt.Sprint("first-", i)), entry(2, i, 1, fmt.Sprint("second-", i)))
		restart()
	}
	compact()
	commit(entry(1, 5, 1, "first-5"), entry(1, 6, 1, "first-6"))
	commit(entry(1, 6, 2, "first-6 of another epoch"))
	// the snapshot of a transfer that is complete, with entries that came right behind it
	state := make([]byte, snapshotBytes)
	commit(Record{Kind: RecordSnapshot, Group: 1, Index: 40, Epoch: 3, Data: state}, entry(1, 41, 3, "first-41"))
	commit(entry(1, 42, 3, "first-42"))
	compact()
	compact()
	commit(Record{Kind: RecordDrop, Group: 2})
	commit(entry(1, 43, 3, "first-43"))
	return steps
}

// checkpointRecords is the state of all groups as records, as a compaction writes it.
func checkpointRecords(records []Record) []Record {
	var checkpoint []Record
	logs := FoldRecords(records)
	for group := uint32(1); group <= 2; group++ {
		log := logs[group]
		if log == nil {
			continue
		}
		state := append([]byte{}, log.Snapshot...)
		checkpoint = append(checkpoint, Record{Kind: RecordSnapshot, Group: group, Index: log.SnapshotIndex, Epoch: log.SnapshotEpoch, Data: state})
		checkpoint = append(checkpoint, log.Entries...)
	}
	return checkpoint
}

// foldToTheSame compares what was read with what was written; an empty snapshot is as good as none.
func foldToTheSame(read, written []Record) bool {
	return reflect.DeepEqual(checkpointRecords(read), checkpointRecords(written))
}

// runUntilPowerIsLost carries the workload out and returns the records of the calls that returned, and those of the one under way.
func runUntilPowerIsLost(fs fileSystem, steps []journalStep) (done, underWay []Record) {
	j, _, err := openJournalFS(fs, crashFolder)
	if err != nil {
		return nil, nil
	}
	for _, step := range steps {
		if step.restart {
			if j, _, err = openJournalFS(fs, crashFolder); err != nil {
				return done, done
			}
			continue
		}
		if step.compact {
			if j.Compact(checkpointRecords(done)) != nil {
				return done, done
			}
			continue
		}
		next := append(append([]Record(nil), done...), step.records...)
		if j.Append(step.records) != nil {
			return done, next
		}
		done = next
	}
	return done, done
}

// Power is lost at every write, sync, creation and removal of the workload, with everything that may then be left on the disk. What
// was acknowledged is read at the next start, and nothing that was never written; and the journal can go on from there.
func TestNoStepOfAJournalLosesWhatWasAcknowledged(t *testing.T) {
	steps := crashWorkload()
	unharmed := newCrashFileSystem(0)
	runUntilPowerIsLost(unharmed, steps)
	losses := 0
	for lossStep := 1; lossStep <= unharmed.steps; lossStep++ {
		for left := range remainsEnd {
			draws := 1
			if left == partRemains {
				draws = partsADisk
			}
			for draw := range draws {
				random := rand.New(rand.NewSource(int64(lossStep*partsADisk + draw)))
				d := newCrashFileSystem(lossStep)
				done, underWay := runUntilPowerIsLost(d, steps)
				after := d.afterPowerLoss(left, random)
				checkAfterPowerLoss(t, fmt.Sprintf("power lost at step %d of %d, %s of what was not synced is left", lossStep, unharmed.steps, left),
					after, done, underWay)
				losses++
			}
		}
	}
	t.Logf("%d steps, %d losses of power", unharmed.steps, losses)
}

func checkAfterPowerLoss(t *testing.T, where string, fs *crashFileSystem, done, underWay []Record) {
	t.Helper()
	j, read, err := openJournalFS(fs, crashFolder)
	if err != nil {
		t.Fatalf("%s: %v\n%s", where, err, fs)
	}
	if !foldToTheSame(read, done) && !foldToTheSame(read, underWay) {
		t.Fatalf("%s: read %+v, acknowledged %+v", where, FoldRecords(read), FoldRecords(done))
	}
	more := entry(3, 1, 9, "behind the loss of power")
	if err := j.Append([]Record{more}); err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	// all that was acknowledged since has been synced: a second loss of power leaves it
	_, again, err := openJournalFS(fs.afterPowerLoss(nothingRemains, nil), crashFolder)
	if err != nil {
		t.Fatalf("%s, and once more: %v", where, err)
	}
	if !foldToTheSame(again, read) || FoldRecords(again)[3] == nil {
		t.Fatalf("%s, and once more: read %+v, %+v before", where, FoldRecords(again), FoldRecords(read))
	}
}

// A value is the one acknowledged last, or the one that was being written.
func TestNoStepOfAValueLosesWhatWasAcknowledged(t *testing.T) {
	const writes = 5
	run := func(fs *crashFileSystem) (done int) {
		values, err := openValuesFS(fs, crashFolder)
		if err != nil {
			return 0
		}
		for i := 1; i <= writes; i++ {
			if values.Write("witness", []byte(fmt.Sprint(i))) != nil {
				return i - 1
			}
		}
		return writes
	}
	unharmed := newCrashFileSystem(0)
	run(unharmed)
	for lossStep := 1; lossStep <= unharmed.steps; lossStep++ {
		for left := range remainsEnd {
			random := rand.New(rand.NewSource(int64(lossStep)))
			d := newCrashFileSystem(lossStep)
			done := run(d)
			values, err := openValuesFS(d.afterPowerLoss(left, random), crashFolder)
			if err != nil {
				t.Fatal(err)
			}
			content, err := values.Read("witness")
			if err != nil {
				t.Fatalf("power lost at step %d, %s left: %v", lossStep, left, err)
			}
			got := 0
			if content != nil {
				_, _ = fmt.Sscan(string(content), &got)
			}
			if got != done && got != done+1 {
				t.Fatalf("power lost at step %d, %s left: read %d, acknowledged %d", lossStep, left, got, done)
			}
		}
	}
}
