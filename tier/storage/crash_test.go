package storage

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
)

const (
	testDir       = "/journal"
	drawsPerStep  = 4 // random draws per step of the unsynced data that a power loss keeps
	snapshotBytes = 700
)

// journalStep is one call of the journal: a group commit, a compaction to the current state, or a restart of the process, which
// starts a new segment.
type journalStep struct {
	records []Record
	compact bool
	restart bool
}

// crashWorkload returns the steps of a node that writes entries, compacts, receives a snapshot because it lags, compacts twice and
// writes more entries.
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
	// the snapshot of a complete transfer, with the entries that follow it
	state := make([]byte, snapshotBytes)
	commit(Record{Kind: RecordSnapshot, Group: 1, Index: 40, Epoch: 3, Data: state}, entry(1, 41, 3, "first-41"))
	commit(entry(1, 42, 3, "first-42"))
	compact()
	compact()
	commit(Record{Kind: RecordDrop, Group: 2})
	commit(entry(1, 43, 3, "first-43"))
	return steps
}

// checkpointRecords returns the state of all groups as the records of a checkpoint.
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

// haveSameState reports whether two lists of records result in the same state. An empty snapshot equals none.
func haveSameState(read, written []Record) bool {
	return reflect.DeepEqual(checkpointRecords(read), checkpointRecords(written))
}

// runUntilPowerLoss runs the workload until the power loss. It returns the records of the calls that returned, and the same records
// with those of the call in progress.
func runUntilPowerLoss(fs fileSystem, steps []journalStep) (done, inProgress []Record) {
	j, _, err := openJournalFS(fs, testDir)
	if err != nil {
		return nil, nil
	}
	for _, step := range steps {
		if step.restart {
			if j, _, err = openJournalFS(fs, testDir); err != nil {
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

// A power loss is simulated at every write, sync, creation and removal of the workload, with each way in which unsynced data may be
// kept or lost. The next start must read all acknowledged records and none that were never written, and the journal must accept new
// records.
func TestJournalKeepsAcknowledgedRecordsAfterPowerLoss(t *testing.T) {
	steps := crashWorkload()
	reference := newCrashFileSystem(0)
	runUntilPowerLoss(reference, steps)
	losses := 0
	for lossStep := 1; lossStep <= reference.steps; lossStep++ {
		for kept := range keptDataEnd {
			draws := 1
			if kept == partKept {
				draws = drawsPerStep
			}
			for draw := range draws {
				random := rand.New(rand.NewSource(int64(lossStep*drawsPerStep + draw)))
				d := newCrashFileSystem(lossStep)
				done, inProgress := runUntilPowerLoss(d, steps)
				after := d.afterPowerLoss(kept, random)
				checkAfterPowerLoss(t, fmt.Sprintf("power lost at step %d of %d, %s of the unsynced data kept", lossStep, reference.steps, kept),
					after, done, inProgress)
				losses++
			}
		}
	}
	t.Logf("%d steps, %d losses of power", reference.steps, losses)
}

func checkAfterPowerLoss(t *testing.T, where string, fs *crashFileSystem, done, inProgress []Record) {
	t.Helper()
	j, read, err := openJournalFS(fs, testDir)
	if err != nil {
		t.Fatalf("%s: %v\n%s", where, err, fs)
	}
	if !haveSameState(read, done) && !haveSameState(read, inProgress) {
		t.Fatalf("%s: read %+v, acknowledged %+v", where, FoldRecords(read), FoldRecords(done))
	}
	more := entry(3, 1, 9, "after the power loss")
	if err := j.Append([]Record{more}); err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	// a second power loss must keep all records, since they were synced before they were acknowledged
	_, reread, err := openJournalFS(fs.afterPowerLoss(nothingKept, nil), testDir)
	if err != nil {
		t.Fatalf("%s, after a second power loss: %v", where, err)
	}
	if !haveSameState(reread, read) || FoldRecords(reread)[3] == nil {
		t.Fatalf("%s, after a second power loss: read %+v, %+v before", where, FoldRecords(reread), FoldRecords(read))
	}
}

// After a power loss at any step, a value is the last acknowledged version or the one that was being written.
func TestValuesKeepAcknowledgedVersionAfterPowerLoss(t *testing.T) {
	const writes = 5
	run := func(fs *crashFileSystem) (done int) {
		values, err := openValuesFS(fs, testDir)
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
	reference := newCrashFileSystem(0)
	run(reference)
	for lossStep := 1; lossStep <= reference.steps; lossStep++ {
		for kept := range keptDataEnd {
			random := rand.New(rand.NewSource(int64(lossStep)))
			d := newCrashFileSystem(lossStep)
			done := run(d)
			values, err := openValuesFS(d.afterPowerLoss(kept, random), testDir)
			if err != nil {
				t.Fatal(err)
			}
			content, err := values.Read("witness")
			if err != nil {
				t.Fatalf("power lost at step %d, %s of the unsynced data kept: %v", lossStep, kept, err)
			}
			got := 0
			if content != nil {
				_, _ = fmt.Sscan(string(content), &got)
			}
			if got != done && got != done+1 {
				t.Fatalf("power lost at step %d, %s of the unsynced data kept: read %d, acknowledged %d", lossStep, kept, got, done)
			}
		}
	}
}
