package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/codes"
)

func entry(group uint32, index, epoch uint64, data string) Record {
	return Record{Kind: RecordEntry, Group: group, Index: index, Epoch: epoch, Data: []byte(data)}
}

func openJournal(t testing.TB, dir string) (*Journal, []Record) {
	t.Helper()
	j, records, err := OpenJournal(dir)
	if err != nil {
		t.Fatal(err)
	}
	return j, records
}

func appendAll(t testing.TB, j *Journal, records ...Record) {
	t.Helper()
	for _, record := range records {
		if err := j.Append([]Record{record}); err != nil {
			t.Fatal(err)
		}
	}
}

// lastSegment returns the path of the newest segment that is not empty.
func lastSegment(t testing.TB, dir string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"-*"))
	if err != nil {
		t.Fatal(err)
	}
	for i := len(names) - 1; i >= 0; i-- {
		if info, err := os.Stat(names[i]); err == nil && info.Size() > 0 {
			return names[i]
		}
	}
	t.Fatal("all segments are empty")
	return ""
}

func TestJournalReturnsAppendedRecords(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, entry(1, 1, 1, "a"), entry(1, 2, 1, "b"), entry(2, 1, 1, "c"))
	j, records := openJournal(t, dir)
	if len(records) != 3 || string(records[2].Data) != "c" {
		t.Fatalf("read %d records", len(records))
	}
	appendAll(t, j, entry(1, 3, 1, "d"))
	if _, records = openJournal(t, dir); len(records) != 4 {
		t.Fatalf("read %d records after a second start", len(records))
	}
}

func TestJournalTruncatesTornLastCommit(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, entry(1, 1, 1, "kept"), entry(1, 2, 1, "torn"))
	name := lastSegment(t, dir)
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, content[:len(content)-3], 0o644); err != nil {
		t.Fatal(err)
	}
	j, records := openJournal(t, dir)
	if len(records) != 1 || string(records[0].Data) != "kept" {
		t.Fatalf("read %v", records)
	}
	appendAll(t, j, entry(1, 2, 2, "again"))
	if _, records = openJournal(t, dir); len(records) != 2 || string(records[1].Data) != "again" {
		t.Fatalf("read %v after the torn commit", records)
	}
}

func TestJournalReportsDamageBeforeItsEnd(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, entry(1, 1, 1, "first"), entry(1, 2, 1, "second"))
	name := lastSegment(t, dir)
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	content[commitHeaderBytes+8] ^= 1
	if err := os.WriteFile(name, content, 0o644); err != nil {
		t.Fatal(err)
	}
	if _, _, err := OpenJournal(dir); !errors.Is(err, codes.DiskDamaged) {
		t.Fatalf("a flipped bit in an acknowledged commit gave %v", err)
	}
}

func TestJournalReportsAMissingSegment(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, entry(1, 1, 1, "first"))
	first := lastSegment(t, dir)
	j, _ = openJournal(t, dir)
	appendAll(t, j, entry(1, 2, 1, "second"))
	middle := lastSegment(t, dir)
	j, _ = openJournal(t, dir)
	appendAll(t, j, entry(1, 3, 1, "third"))
	if err := os.Remove(middle); err != nil {
		t.Fatal(err)
	}
	if _, _, err := OpenJournal(dir); !errors.Is(err, codes.DiskDamaged) {
		t.Fatalf("a missing segment gave %v", err)
	}
	if _, err := os.Stat(first); err != nil {
		t.Fatal("the segment before the missing one was removed")
	}
}

func TestJournalIgnoresOldSegmentsAfterCompaction(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, entry(1, 1, 1, "old"), entry(1, 2, 1, "older"))
	name := lastSegment(t, dir)
	old, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	snapshot := Record{Kind: RecordSnapshot, Group: 1, Index: 2, Epoch: 1, Data: []byte("state")}
	if err := j.Compact([]Record{snapshot}); err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, entry(1, 3, 1, "new"))
	// a power loss may undo the removal of the old segment
	if err := os.WriteFile(name, old, 0o644); err != nil {
		t.Fatal(err)
	}
	_, records := openJournal(t, dir)
	log := FoldRecords(records)[1]
	if string(log.Snapshot) != "state" || len(log.Entries) != 1 || string(log.Entries[0].Data) != "new" {
		t.Fatalf("folded %+v", log)
	}
}

func TestFoldRecordsReplacesEntriesFromRewrittenIndex(t *testing.T) {
	logs := FoldRecords([]Record{
		entry(1, 1, 1, "a"), entry(1, 2, 1, "b"), entry(1, 3, 1, "c"), entry(1, 2, 2, "B"),
		entry(2, 1, 1, "gone"),
		{Kind: RecordDrop, Group: 2},
	})
	if log := logs[1]; len(log.Entries) != 2 || string(log.Entries[1].Data) != "B" {
		t.Fatalf("folded %+v", log)
	}
	if logs[2] != nil {
		t.Fatal("a dropped group was not removed")
	}
}

// A journal that was truncated anywhere yields a prefix of the appended records.
func TestTruncatedJournalYieldsPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "journal")
		if err != nil {
			rt.Fatal(err)
		}
		j, _, err := OpenJournal(dir)
		if err != nil {
			rt.Fatal(err)
		}
		count := rapid.IntRange(1, 12).Draw(rt, "commits")
		for i := range count {
			data := rapid.StringN(0, 40, -1).Draw(rt, "data")
			if err := j.Append([]Record{entry(1, uint64(i+1), 1, data)}); err != nil {
				rt.Fatal(err)
			}
		}
		name := lastSegment(t, dir)
		content, err := os.ReadFile(name)
		if err != nil {
			rt.Fatal(err)
		}
		keep := rapid.IntRange(0, len(content)).Draw(rt, "keep")
		if err := os.WriteFile(name, content[:keep], 0o644); err != nil {
			rt.Fatal(err)
		}
		_, records, err := OpenJournal(dir)
		if err != nil {
			rt.Fatal(err)
		}
		for i, record := range records {
			if record.Index != uint64(i+1) {
				rt.Fatalf("record %d has index %d", i, record.Index)
			}
		}
		if keep == len(content) && len(records) != count {
			rt.Fatalf("read %d of %d records from a journal that was not truncated", len(records), count)
		}
	})
}

func TestValuesKeepTheNewestVersion(t *testing.T) {
	dir := t.TempDir()
	values, err := OpenValues(dir)
	if err != nil {
		t.Fatal(err)
	}
	if content, err := values.Read("witness"); err != nil || content != nil {
		t.Fatalf("an empty folder gave %q, %v", content, err)
	}
	for _, text := range []string{"one", "two", "three", "four"} {
		if err := values.Write("witness", []byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	again, err := OpenValues(dir)
	if err != nil {
		t.Fatal(err)
	}
	if content, err := again.Read("witness"); err != nil || string(content) != "four" {
		t.Fatalf("read %q, %v", content, err)
	}
	names, err := filepath.Glob(filepath.Join(dir, "witness-*"))
	if err != nil || len(names) != retainedVersions {
		t.Fatalf("%d versions are kept", len(names))
	}
}

// A value that is written without being read first gets the version after those on disk.
func TestWriteWithoutReadCreatesNewestVersion(t *testing.T) {
	dir := t.TempDir()
	for _, content := range []string{"one", "two", "three"} {
		values, err := OpenValues(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := values.Write("identity", []byte(content)); err != nil {
			t.Fatal(err)
		}
		reopened, err := OpenValues(dir)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := reopened.Read("identity"); err != nil || string(got) != content {
			t.Fatalf("%q, not %q: %v", got, content, err)
		}
	}
}

func TestValuesReportADamagedFile(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"cut":     func(b []byte) []byte { return b[:len(b)-1] },
		"flipped": func(b []byte) []byte { b[len(b)-1] ^= 4; return b },
		"empty":   func([]byte) []byte { return nil },
		"longer":  func(b []byte) []byte { return append(b, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			values, err := OpenValues(dir)
			if err != nil {
				t.Fatal(err)
			}
			if err := values.Write("identity", []byte("12345678")); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, versionName("identity", 1))
			content, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(content), 0o644); err != nil {
				t.Fatal(err)
			}
			if _, err := values.Read("identity"); !errors.Is(err, codes.DiskDamaged) {
				t.Fatalf("damage gave %v", err)
			}
		})
	}
}

func TestRenamedFileIsRejected(t *testing.T) {
	dir := t.TempDir()
	values, err := OpenValues(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := values.Write("identity", []byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(filepath.Join(dir, versionName("identity", 1)), filepath.Join(dir, versionName("identity", 2))); err != nil {
		t.Fatal(err)
	}
	if _, err := values.Read("identity"); !errors.Is(err, codes.DiskDamaged) {
		t.Fatalf("a misplaced file gave %v", err)
	}
}
