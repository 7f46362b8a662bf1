package storage

import (
	"encoding/binary"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"otterseam/tier/codes"
)

// readFolder returns the contents of the files in a folder, by their names.
func readFolder(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		files[entry.Name()] = string(content)
	}
	return files
}

// rewriteFile replaces a file's content by the result of change.
func rewriteFile(t *testing.T, path string, change func([]byte) []byte) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, change(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

func flipBit(at int) func([]byte) []byte {
	return func(content []byte) []byte {
		content[at] ^= 1
		return content
	}
}

func truncateTo(size int) func([]byte) []byte {
	return func(content []byte) []byte { return content[:size] }
}

// checkCorrupt checks that an error is the wanted CorruptRecordError, and that nothing in the folder has changed.
func checkCorrupt(t *testing.T, err error, want CorruptRecordError, dir string, before map[string]string) {
	t.Helper()
	var corrupt *CorruptRecordError
	if !errors.As(err, &corrupt) || !errors.Is(err, codes.DiskDamaged) {
		t.Fatalf("error %v", err)
	}
	want.File = filepath.Join(dir, want.File)
	if *corrupt != want {
		t.Errorf("error %+v, not %+v", *corrupt, want)
	}
	if after := readFolder(t, dir); !maps.Equal(after, before) {
		t.Error("the folder has changed")
	}
}

// A journal that is truncated, torn, altered or of a newer format before its end is rejected and not changed.
func TestCorruptJournalIsReportedAndNotChanged(t *testing.T) {
	const (
		first  = "segment-0000000000000001"
		second = "segment-0000000000000002"
		third  = "segment-0000000000000003"
	)
	length := len(encodeCommit(commit{sequence: 1, records: []Record{entry(1, 1, 1, "a")}})) // of each commit
	cases := []struct {
		name   string
		file   string
		change func([]byte) []byte
		want   CorruptRecordError
	}{
		{"a bit of the first commit of two", first, flipBit(length - 1), CorruptRecordError{File: first, Reason: "damaged commit: complete commits follow"}},
		{"a cut end before other segments", first, truncateTo(2*length - 1), CorruptRecordError{File: first, Offset: int64(length), Reason: "damaged commit: later segments follow"}},
		{"a newer format before other segments", second, flipBit(0), CorruptRecordError{File: second, Reason: "damaged commit: later segments follow"}},
		{"an empty segment before others", second, truncateTo(0), CorruptRecordError{File: third, Reason: "commit 3 is missing before commit 4"}},
		{"a missing commit before a torn one", third, func(content []byte) []byte {
			later := encodeCommit(commit{sequence: 6, records: []Record{entry(1, 6, 1, "f")}})
			return append(append(content, later...), "torn"...)
		}, CorruptRecordError{File: third, Offset: int64(length), Reason: "commit 5 is missing before commit 6"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			j, _ := openJournal(t, dir)
			appendAll(t, j, entry(1, 1, 1, "a"), entry(1, 2, 1, "b"))
			j, _ = openJournal(t, dir)
			appendAll(t, j, entry(1, 3, 1, "c"))
			j, _ = openJournal(t, dir)
			appendAll(t, j, entry(1, 4, 1, "d"))
			rewriteFile(t, filepath.Join(dir, c.file), c.change)
			before := readFolder(t, dir)
			_, _, err := OpenJournal(dir)
			checkCorrupt(t, err, c.want, dir, before)
		})
	}
}

// A last segment written by a newer version of the program is rejected and not changed. It must not be truncated as a torn one.
func TestLastSegmentOfNewerFormatIsNotChanged(t *testing.T) {
	const last = "segment-0000000000000002"
	newerRecord := entry(1, 3, 1, "c")
	newerRecord.Kind = RecordDrop + 1
	known := encodeCommit(commit{sequence: 3, records: []Record{entry(1, 3, 1, "c")}})
	content := slices.Concat(known[commitHeaderBytes:], []byte("new field"))
	header := binary.BigEndian.AppendUint32(nil, commitMagic)
	header = binary.BigEndian.AppendUint32(header, uint32(len(content)))
	header = binary.BigEndian.AppendUint32(header, commitChecksum(3, content))
	header = binary.BigEndian.AppendUint64(header, 3)
	for name, written := range map[string][]byte{
		"another magic number":   []byte("OCM2 all else may differ"),
		"another kind of record": encodeCommit(commit{sequence: 3, records: []Record{newerRecord}}),
		"a field after the last": append(header, content...),
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			j, _ := openJournal(t, dir)
			appendAll(t, j, entry(1, 1, 1, "a"), entry(1, 2, 1, "b"))
			if err := os.WriteFile(filepath.Join(dir, last), written, 0o644); err != nil {
				t.Fatal(err)
			}
			before := readFolder(t, dir)
			_, _, err := OpenJournal(dir)
			checkCorrupt(t, err, CorruptRecordError{File: last, Reason: "damaged commit: of a newer format, or not a journal"}, dir, before)
		})
	}
}

// A commit of which a power loss left any prefix, with or without zeros in place of the rest, is truncated.
func TestTornCommitWithZerosIsTruncated(t *testing.T) {
	torn := encodeCommit(commit{sequence: 2, records: []Record{entry(1, 2, 1, "b")}})
	for written := range torn {
		for _, end := range []int{written, len(torn)} {
			dir := t.TempDir()
			j, _ := openJournal(t, dir)
			appendAll(t, j, entry(1, 1, 1, "a"))
			rewriteFile(t, filepath.Join(dir, "segment-0000000000000001"), func(content []byte) []byte {
				tornEnd := append([]byte(nil), torn[:end]...)
				clear(tornEnd[written:])
				return append(content, tornEnd...)
			})
			if _, records := openJournal(t, dir); len(records) != 1 {
				t.Fatalf("%d of %d bytes written: %d records", written, end, len(records))
			}
		}
	}
}

// A value that is truncated, altered, misplaced or of a newer format is an error, and no older version is returned instead.
func TestCorruptValueIsReportedAndNotChanged(t *testing.T) {
	const newest = "identity-0000000000000002"
	cases := []struct {
		name   string
		change func([]byte) []byte
		reason string
	}{
		{"empty", truncateTo(0), "no valid header"},
		{"cut in the header", truncateTo(versionHeaderBytes - 1), "no valid header"},
		{"a newer format", flipBit(3), "no valid header"},
		{"cut in the content", truncateTo(versionHeaderBytes + 3), "cut short or too long"},
		{"longer", func(content []byte) []byte { return append(content, 0) }, "cut short or too long"},
		{"a bit of the content", flipBit(versionHeaderBytes), "wrong checksum"},
		{"the content of another file", func([]byte) []byte { return encodeVersion("starts-0000000000000002", []byte("12345678")) }, "wrong checksum"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			values, err := OpenValues(dir)
			if err != nil {
				t.Fatal(err)
			}
			for _, content := range []string{"12345678", "87654321"} {
				if err := values.Write("identity", []byte(content)); err != nil {
					t.Fatal(err)
				}
			}
			rewriteFile(t, filepath.Join(dir, newest), c.change)
			before := readFolder(t, dir)
			_, err = values.Read("identity")
			checkCorrupt(t, err, CorruptRecordError{File: newest, Reason: c.reason}, dir, before)
		})
	}
}

// An error of the file system at any step of a write is returned as a WriteError that wraps it.
func TestWriteErrorWrapsFileSystemError(t *testing.T) {
	cases := []struct {
		name  string
		write func(fs fileSystem) error
	}{
		{"a value", func(fs fileSystem) error {
			values, err := openValuesFS(fs, testDir)
			if err != nil {
				return err
			}
			return values.Write("identity", []byte("x"))
		}},
		{"a journal", func(fs fileSystem) error {
			j, _, err := openJournalFS(fs, testDir)
			if err != nil {
				return err
			}
			return j.Append([]Record{entry(1, 1, 1, "a")})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reference := newCrashFileSystem(0)
			if err := c.write(reference); err != nil {
				t.Fatal(err)
			}
			for step := 1; step <= reference.steps; step++ {
				err := c.write(newCrashFileSystem(step))
				var failed *WriteError
				if !errors.As(err, &failed) || !errors.Is(err, codes.DiskWrite) || !errors.Is(err, errPowerLost) {
					t.Errorf("step %d of %d: error %v", step, reference.steps, err)
				}
			}
		})
	}
}
