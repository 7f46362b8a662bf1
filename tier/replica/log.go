package replica

// entryOverhead is the estimated memory use of an entry in addition to its data, in bytes.
const entryOverhead = 64

// Entry is one replicated command.
type Entry struct {
	Index uint64
	Epoch uint64 // epoch of the primary that proposed it
	Data  []byte // empty for the entry that opens an epoch
}

// size returns the estimated memory use of the entry.
func (e Entry) size() int { return len(e.Data) + entryOverhead }

func sizeOf(entries []Entry) int {
	total := 0
	for _, entry := range entries {
		total += entry.size()
	}
	return total
}

// Snapshot is the state after applying the entry at Index.
type Snapshot struct {
	Index uint64
	Epoch uint64
	State []byte
}

// position identifies an entry. Two logs that contain an entry with the same position contain the same entries up to it.
type position struct {
	index uint64
	epoch uint64
}

// entryLog is the part of a replica's log that is in memory. It tracks how far the log is on disk.
type entryLog struct {
	base    position // position of the entry before the first one in memory
	entries []Entry
	bytes   int    // size of the entries in memory
	durable uint64 // entries up to this index are on disk
	// unwrittenBytes is the size of the entries in writes that were requested but not reported as completed.
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

// epochAt returns the epoch of an entry, and whether it is known.
func (l *entryLog) epochAt(index uint64) (epoch uint64, known bool) {
	if index == l.base.index {
		return l.base.epoch, true
	}
	if index < l.base.index || index > l.lastIndex() {
		return 0, false
	}
	return l.at(index).Epoch, true
}

// at returns an entry in memory.
func (l *entryLog) at(index uint64) Entry { return l.entries[index-l.base.index-1] }

// entriesAfter returns the entries after an index, which must not be below the base.
func (l *entryLog) entriesAfter(index uint64) []Entry { return l.entries[index-l.base.index:] }

// append adds entries after the last one.
func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += sizeOf(entries)
}

// bytesBetween returns the size of the entries after one index up to and including another, as far as they are in memory.
func (l *entryLog) bytesBetween(after, upTo uint64) int {
	after = max(after, l.base.index)
	upTo = min(upTo, l.lastIndex())
	if after >= upTo {
		return 0
	}
	return sizeOf(l.entries[after-l.base.index : upTo-l.base.index])
}

// batchFrom returns entries for one message, starting at an index, and their size.
func (l *entryLog) batchFrom(index uint64) (entries []Entry, size int) {
	for _, entry := range l.entriesAfter(index - 1) {
		if size > maxAppendBytes {
			break
		}
		entries = append(entries, entry)
		size += entry.size()
	}
	return entries, size
}

// fromFirstMissing returns the given entries starting with the first one that is not in the log, or nil if all are.
func (l *entryLog) fromFirstMissing(entries []Entry) []Entry {
	for i, entry := range entries {
		if epoch, known := l.epochAt(entry.Index); !known || epoch != entry.Epoch {
			return entries[i:]
		}
	}
	return nil
}

// truncateFrom removes an entry and all entries after it.
func (l *entryLog) truncateFrom(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.bytes -= l.bytesBetween(index-1, l.lastIndex())
	l.entries = l.entries[:index-l.base.index-1]
	l.durable = min(l.durable, index-1)
}

// discardUpTo discards the entries up to and including an index from memory.
func (l *entryLog) discardUpTo(index uint64) {
	epoch, _ := l.epochAt(index)
	l.entries = append([]Entry(nil), l.entriesAfter(index)...)
	l.bytes = sizeOf(l.entries)
	l.base = position{index: index, epoch: epoch}
}

// resetTo replaces the log by an empty one after a snapshot that is not on disk yet.
func (l *entryLog) resetTo(base position) {
	l.base = base
	l.entries = nil
	l.bytes = 0
	l.durable = 0
}
