package storage

import "sort"

// GroupLog is the durable state of one group, computed from its journal records.
type GroupLog struct {
	Snapshot      []byte
	SnapshotIndex uint64
	SnapshotEpoch uint64
	Entries       []Record // from index SnapshotIndex+1 on, without gaps
}

// FoldRecords returns the state of each group after the records were applied in order.
func FoldRecords(records []Record) map[uint32]*GroupLog {
	logs := map[uint32]*GroupLog{}
	for _, record := range records {
		if record.Kind == RecordDrop {
			delete(logs, record.Group)
			continue
		}
		log := logs[record.Group]
		if log == nil {
			log = &GroupLog{}
			logs[record.Group] = log
		}
		log.add(record)
	}
	return logs
}

func (l *GroupLog) add(record Record) {
	if record.Kind == RecordSnapshot {
		*l = GroupLog{Snapshot: record.Data, SnapshotIndex: record.Index, SnapshotEpoch: record.Epoch}
		return
	}
	if record.Index <= l.SnapshotIndex {
		return
	}
	first := sort.Search(len(l.Entries), func(i int) bool { return l.Entries[i].Index >= record.Index })
	l.Entries = append(l.Entries[:first], record)
}
