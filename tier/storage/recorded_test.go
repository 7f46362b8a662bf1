package storage

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"otterseam/tier/internal/recorded"
)

func recordedRecords() []Record {
	return []Record{
		{Kind: RecordSnapshot, Group: 0x01020304, Index: 0x1112131415161718, Epoch: 0x2122232425262728, Data: []byte("a snapshot")},
		{Kind: RecordEntry, Group: 0x01020304, Index: 0x1112131415161719, Epoch: 0x2122232425262729, Data: []byte("a command")},
		{Kind: RecordEntry, Group: 5, Index: 6, Epoch: 7, Data: []byte{0, 1, 254, 255}},
		{Kind: RecordDrop, Group: 8, Index: 9, Epoch: 10, Data: []byte{}},
	}
}

// decodeSingleCommit returns a function that decodes data of exactly one commit.
func decodeSingleCommit(t *testing.T) func([]byte) (commit, error) {
	return func(data []byte) (commit, error) {
		c, length, ok := decodeCommit(data)
		if !ok || length != len(data) {
			t.Errorf("a commit of %d bytes was read as %d bytes, %v", len(data), length, ok)
		}
		return c, nil
	}
}

func TestRecordedCommits(t *testing.T) {
	plain := commit{sequence: 0x0102030405060708, records: recordedRecords()}
	recorded.CheckBoth(t, "commit", plain, encodeCommit, decodeSingleCommit(t))
	checkpoint := commit{sequence: 3, checkpoint: true, records: recordedRecords()[:2]}
	recorded.CheckBoth(t, "commit-whole", checkpoint, encodeCommit, decodeSingleCommit(t))
}

// checkFiles compares the files of a folder with recordings, by file name. It ignores empty files.
func checkFiles(t *testing.T, dir string, names map[string]string) {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, file := range files {
		content, err := os.ReadFile(filepath.Join(dir, file.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if len(content) == 0 {
			continue
		}
		name, expected := names[file.Name()]
		if !expected {
			t.Errorf("unexpected file %s", file.Name())
			continue
		}
		found++
		recorded.Check(t, name, content)
	}
	if found != len(names) {
		t.Errorf("found %d of %d files", found, len(names))
	}
}

// newFolderFromRecordings returns a new folder with recordings as files.
func newFolderFromRecordings(t *testing.T, names map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for file, name := range names {
		if err := os.WriteFile(filepath.Join(dir, file), recorded.Read(t, name), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// A journal writes segments with the recorded names and contents, and is read back from the recordings.
func TestRecordedJournal(t *testing.T) {
	first := map[string]string{"segment-0000000000000001": "segment-1"}
	second := map[string]string{"segment-0000000000000001": "segment-1", "segment-0000000000000002": "segment-2"}
	compacted := map[string]string{"segment-0000000000000003": "segment-3"}
	all := recordedRecords()

	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	for _, records := range [][]Record{all[:1], all[1:]} {
		if err := j.Append(records); err != nil {
			t.Fatal(err)
		}
	}
	checkFiles(t, dir, first)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	j, _ = openJournal(t, dir)
	appendAll(t, j, all[1])
	checkFiles(t, dir, second)
	if err := j.Compact(all[:3]); err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, all[3])
	checkFiles(t, dir, compacted)

	for _, each := range []struct {
		files map[string]string
		want  []Record
	}{
		{first, all},
		{second, append(append([]Record(nil), all...), all[1])},
		{compacted, all},
	} {
		if _, records := openJournal(t, newFolderFromRecordings(t, each.files)); !reflect.DeepEqual(records, each.want) {
			t.Errorf("%v: read %+v", each.files, records)
		}
	}
}

// A value is written to files with the recorded names and contents, and its newest version is read back from the recordings.
func TestRecordedValues(t *testing.T) {
	files := map[string]string{"witness-0000000000000002": "value-2", "witness-0000000000000003": "value-3"}
	dir := t.TempDir()
	values, err := OpenValues(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, content := range []string{"the first", "the second content", "the third"} {
		if err := values.Write("witness", []byte(content)); err != nil {
			t.Fatal(err)
		}
	}
	checkFiles(t, dir, files)
	if values, err = OpenValues(newFolderFromRecordings(t, files)); err != nil {
		t.Fatal(err)
	}
	if content, err := values.Read("witness"); err != nil || string(content) != "the third" {
		t.Fatalf("read %q, %v", content, err)
	}
}
