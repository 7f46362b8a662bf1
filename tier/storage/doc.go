// Package storage keeps the durable state of a process: a Journal of the records of its replicated groups, and single Values.
//
// # Layout on disk
//
// A journal is a folder of segments, "segment-" and 16 hexadecimal digits that count up from 1. A segment is a sequence of
// commits. A commit is a header (magic "OCMT", length of the content, CRC-32C over the name "commit-<sequence>" and the content,
// all 4 bytes, and the sequence number, 8 bytes; big endian) and the content: a byte that is 1 for a checkpoint, the number of
// records, and each record's kind, group, index, epoch and data. Sequence numbers count up by 1 without gaps. A checkpoint holds
// the state of all groups; what stands before it is of no use.
//
// A value is a file for each version, its name, a dash and 16 hexadecimal digits; the two newest stay. A file is a header (magic
// "OTT1", length of the content, CRC-32C over the file's name and the content, 4 bytes each) and the content.
//
// # What is synced when
//
// Append writes a commit at the end of the segment and syncs the file before it returns. A new segment is created, and its folder
// synced, before anything is written into it. A version of a value is written under a temporary name, synced, renamed, and then
// its folder is synced. Opening syncs what will be relied upon: the end of the last segment, and the folder of values. Removal of
// old segments and versions is not synced: they may come back, and are then passed over.
//
// # What survives which loss
//
// A loss of power takes no commit and no version whose write has returned. A commit that was torn by it stands at the end of the
// last segment and is cut off at the next start; it was not acknowledged. Anything else that is cut, torn, altered, missing or
// misplaced is a CorruptRecordError: nothing of the folder is taken then and nothing in it is changed.
package storage
