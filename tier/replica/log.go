package replica

// entryOverhead is what an entry takes in memory beside its data, in bytes.
const entryOverhead = 64

// Entry is one replicated command.
type Entry struct {
	Index uint64
	Epoch uint64 // of the primary that took it
	Data  []byte // empty for the entry that opens an epoch
}

// size is what the entry takes in memory.
func (e Entry) size() int { return len(e.Data) + entryOverhead }

func sizeOf(entries []Entry) int {
	total := 0
	for _, entry := range entries {
		total += entry.size()
	}
	return total
}

// Snapshot is the state after an entry.
type Snapshot struct {
	Index uint64
	Epoch uint64
	State []byte
}

// position names an entry. Two logs that hold an entry of the same position hold the same entries up to it.
type position struct {
	index uint64
	epoch uint64
}

// entryLog is the part of a replica's log that is in memory, and how far the log is on disk.
type entryLog struct {
	base    position // of the entry before the first one in memory
	entries []Entry
	bytes   int    // size of the entries in memory
	durable uint64 // entries up to this index are on disk
	// unwrittenBytes is the size of the entries in writes that were asked for and not reported as completed.
	unwrittenBytes int
}

func newEntryLog(base position, entries []Entry) entryLog {
	l := entryLog{base: base, entries: entries, bytes: sizeOf(entries)}
	l.durable = l.lastIndex()
	return l
}

func (l *entryLog) lastIndex() uint64 {
	if len(l.entries) > 0 {
		return l.entries[len(l.entries)-1].Index
	}
	return l.base.index
}

func (l *entryLog) lastEpoch() uint64 {
	if len(l.entries) > 0 {
		return l.entries[len(l.entries)-1].Epoch
	}
	return l.base.epoch
}

// epochAt returns the epoch of an entry, and whether it is known here.
func (l *entryLog) epochAt(index uint64) (epoch uint64, known bool) {
	if index == l.base.index {
		return l.base.epoch, true
	}
	if index < l.base.index || index > l.lastIndex() {
		return 0, false
	}
	return l.at(index).Epoch, true
}

// at is an entry in memory.
func (l *entryLog) at(index uint64) Entry { return l.entries[index-l.base.index-1] }

// behind are the entries after an index that is not below the base.
func (l *entryLog) behind(index uint64) []Entry { return l.entries[index-l.base.index:] }

// append takes entries behind the last one.
func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += sizeOf(entries)
}

// bytesBetween is the size of the entries behind one index up to another, as far as they are in memory.
func (l *entryLog) bytesBetween(after, upTo uint64) int {
	after = max(after, l.base.index)
	upTo = min(upTo, l.lastIndex())
	if after >= upTo {
		return 0
	}
	return sizeOf(l.entries[after-l.base.index : upTo-l.base.index])
}

// batchFrom collects entries from an index on for one message, and their size.
func (l *entryLog) batchFrom(index uint64) (entries []Entry, size int) {
	for _, entry := range l.behind(index - 1) {
		if size > maxAppendBytes {
			break
		}
		entries = append(entries, entry)
		size += entry.size()
	}
	return entries, size
}

// firstMissing returns the given entries from the first one on that the log lacks.
func (l *entryLog) firstMissing(entries []Entry) []Entry {
	for i, entry := range entries {
		if epoch, known := l.epochAt(entry.Index); !known || epoch != entry.Epoch {
			return entries[i:]
		}
	}
	return nil
}

// truncateFrom drops an entry and all behind it.
func (l *entryLog) truncateFrom(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.bytes -= l.bytesBetween(index-1, l.lastIndex())
	l.entries = l.entries[:index-l.base.index-1]
	l.durable = min(l.durable, index-1)
}

// forgetUpTo drops the entries up to an index from memory.
func (l *entryLog) forgetUpTo(index uint64) {
	epoch, _ := l.epochAt(index)
	l.entries = append([]Entry(nil), l.behind(index)...)
	l.bytes = sizeOf(l.entries)
	l.base = position{index: index, epoch: epoch}
}

// restartAt replaces the log by an empty one behind a snapshot that is not on disk yet.
func (l *entryLog) restartAt(base position) {
	l.base = base
	l.entries = nil
	l.bytes = 0
	l.durable = 0
}
