package storage

import (
	"os"
	"path/filepath"
	"sort"

	"github.com/samber/oops"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// RecordKind tells what a journal record says.
type RecordKind uint8

// The kinds of journal records.
const (
	// RecordEntry is a log entry of a group. Entries of the same group at or above its index are replaced by it.
	RecordEntry RecordKind = iota + 1
	// RecordSnapshot replaces all that was written of the group before.
	RecordSnapshot
	// RecordDrop says that the group is no longer held here.
	RecordDrop
)

// Record is one durable event of a replicated group.
type Record struct {
	Kind  RecordKind
	Group uint32
	Index uint64 // of the entry, or of the last entry that the snapshot covers
	Epoch uint64
	Data  []byte
}

const (
	batchPrefix = "batch"
	// rewriteBytes is how much the journal may hold beyond twice its live state before it is written anew.
	rewriteBytes = 24 << 20
	rewriteFiles = 1500
)

// Journal keeps records in the order in which they were appended, one file for each group commit.
type Journal struct {
	dir   string
	first uint64 // the oldest file
	next  uint64 // the file that the next commit writes
	bytes int64
	live  int64 // bytes of the last rewrite
}

// OpenJournal opens or creates the folder and returns the records found there. A damaged file at the very end is a commit
// that was never acknowledged, and is removed; elsewhere it is an error.
func OpenJournal(dir string) (*Journal, []Record, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, err
	}
	values := &Values{dir: dir, versions: map[string]uint64{}}
	files, err := values.versionsOf(batchPrefix)
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{dir: dir, first: 1, next: 1}
	if len(files) == 0 {
		return j, nil, nil
	}
	return j.load(files)
}

// batchFile is one file of the journal as found on disk.
type batchFile struct {
	number  uint64
	size    int64
	records []Record
	whole   bool
	err     error
}

func (j *Journal) load(numbers []uint64) (*Journal, []Record, error) {
	files := make([]batchFile, 0, len(numbers))
	start := 0
	for _, number := range numbers {
		file := j.readBatch(number)
		if file.whole {
			// older files are leftovers whose removal a loss of power may have undone
			start = len(files)
		}
		files = append(files, file)
	}
	files = files[start:]
	if last := files[len(files)-1]; last.err != nil {
		_ = os.Remove(filepath.Join(j.dir, versionName(batchPrefix, last.number)))
		files = files[:len(files)-1]
		j.first, j.next = last.number, last.number
	}
	var records []Record
	for position, file := range files {
		if file.err != nil {
			return nil, nil, file.err
		}
		if position > 0 && file.number != j.next {
			return nil, nil, oops.Wrapf(codes.DiskDamaged, "journal: file %d is missing", j.next)
		}
		if file.whole {
			j.live = file.size
		}
		records = append(records, file.records...)
		j.bytes += file.size
		j.next = file.number + 1
	}
	if len(files) > 0 {
		j.first = files[0].number
	}
	return j, records, nil
}

func (j *Journal) readBatch(number uint64) batchFile {
	file := batchFile{number: number}
	content, err := readFile(j.dir, versionName(batchPrefix, number))
	if err == nil {
		file.size = int64(len(content))
		file.records, file.whole, err = decodeBatch(content)
	}
	file.err = err
	return file
}

// Append makes records durable in one file and returns when they are.
func (j *Journal) Append(records []Record) error {
	return j.write(records, false)
}

func (j *Journal) write(records []Record, whole bool) error {
	content := encodeBatch(records, whole)
	if err := writeSynced(j.dir, versionName(batchPrefix, j.next), content); err != nil {
		return err
	}
	j.next++
	j.bytes += int64(len(content))
	return nil
}

// WantsRewrite tells whether the journal has grown so far that it should be written anew.
func (j *Journal) WantsRewrite() bool {
	return j.bytes > 2*j.live+rewriteBytes || j.next-j.first > rewriteFiles
}

// Rewrite replaces the journal by records that hold the whole state, and removes the old files.
func (j *Journal) Rewrite(records []Record) error {
	before := j.next
	if err := j.write(records, true); err != nil {
		return err
	}
	for number := j.first; number < before; number++ {
		_ = os.Remove(filepath.Join(j.dir, versionName(batchPrefix, number)))
	}
	j.first = before
	j.live = 0
	for _, record := range records {
		j.live += int64(len(record.Data))
	}
	j.bytes = j.live
	return nil
}

func encodeBatch(records []Record, whole bool) []byte {
	var e codec.Encoder
	e.Bool(whole)
	e.Uint32(uint32(len(records)))
	for _, record := range records {
		e.Uint8(uint8(record.Kind))
		e.Uint32(record.Group)
		e.Uint64(record.Index)
		e.Uint64(record.Epoch)
		e.Blob(record.Data)
	}
	return e.Bytes
}

const smallestRecord = 1 + 4 + 8 + 8 + 4

func decodeBatch(content []byte) (records []Record, whole bool, err error) {
	d := codec.NewDecoder(content)
	whole = d.Bool()
	n := d.Count(smallestRecord)
	for range n {
		records = append(records, Record{
			Kind:  RecordKind(d.Uint8()),
			Group: d.Uint32(),
			Index: d.Uint64(),
			Epoch: d.Uint64(),
			Data:  d.Blob(),
		})
	}
	return records, whole, d.Err()
}

// Log is the durable state of one group, folded from journal records.
type Log struct {
	Snapshot      []byte
	SnapshotIndex uint64
	SnapshotEpoch uint64
	Entries       []Record // from SnapshotIndex+1 on, without gaps
}

// Fold builds the state of each group from records in their order.
func Fold(records []Record) map[uint32]*Log {
	logs := map[uint32]*Log{}
	for _, record := range records {
		if record.Kind == RecordDrop {
			delete(logs, record.Group)
			continue
		}
		log := logs[record.Group]
		if log == nil {
			log = &Log{}
			logs[record.Group] = log
		}
		log.add(record)
	}
	return logs
}

func (l *Log) add(record Record) {
	if record.Kind == RecordSnapshot {
		*l = Log{Snapshot: record.Data, SnapshotIndex: record.Index, SnapshotEpoch: record.Epoch}
		return
	}
	if record.Index <= l.SnapshotIndex {
		return
	}
	position := sort.Search(len(l.Entries), func(i int) bool { return l.Entries[i].Index >= record.Index })
	l.Entries = append(l.Entries[:position], record)
}
