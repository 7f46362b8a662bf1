package storage

import (
	"fmt"
	"testing"
)

// benchRecords returns the records of a group commit: entries of several groups.
func benchRecords(count int) []Record {
	var records []Record
	for i := range count {
		records = append(records, Record{Kind: RecordEntry, Group: uint32(i % 8), Index: uint64(i), Epoch: 1, Data: make([]byte, 1<<10)})
	}
	return records
}

// BenchmarkCommitCoding measures encoding and decoding a group commit.
func BenchmarkCommitCoding(b *testing.B) {
	for _, count := range []int{1, 16} {
		b.Run(fmt.Sprint(count, "-records"), func(b *testing.B) {
			records := benchRecords(count)
			b.ReportAllocs()
			for b.Loop() {
				encoded := encodeCommit(commit{sequence: 7, records: records})
				if _, _, ok := decodeCommit(encoded); !ok {
					b.Fatal("the commit was not decoded")
				}
			}
		})
	}
}

// BenchmarkOpenJournal measures opening a journal of 4,000 commits on the machine's disk.
func BenchmarkOpenJournal(b *testing.B) {
	dir := b.TempDir()
	j, _ := openJournal(b, dir)
	for _, record := range benchRecords(4000) {
		if err := j.write(commit{sequence: j.nextSequence, records: []Record{record}}); err != nil {
			b.Fatal(err)
		}
	}
	if err := j.Close(); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		j, records := openJournal(b, dir)
		if len(records) != 4000 {
			b.Fatalf("%d records", len(records))
		}
		if err := j.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
