// Package storage stores the durable state of a process: a Journal with the records of its replicated groups, and named Values.
//
// # Layout on disk
//
// A journal is a folder of segment files, named "segment-" and 16 hexadecimal digits that count up from 1. A segment is a sequence
// of commits. A commit is a header (magic "OCMT", length of the content, CRC-32C over the name "commit-<sequence>" and the content,
// all 4 bytes, and the sequence number, 8 bytes; big endian) and the content: a byte that is 1 for a checkpoint, the number of
// records, and each record's kind, group, index, epoch and data. Sequence numbers count up by 1 without gaps. A checkpoint holds
// the state of all groups, so that earlier commits are no longer needed.
//
// Each version of a value is a file, named by the value's name, a dash and 16 hexadecimal digits. The two newest versions are kept.
// A file is a header (magic "OTT1", length of the content, CRC-32C over the file's name and the content, 4 bytes each) and the
// content.
//
// # Durability
//
// Append writes a commit at the end of the segment and syncs the file before it returns. A new segment is created, and its folder
// synced, before anything is written into it. A version of a value is written under a temporary name, synced, renamed, and then
// its folder is synced. Opening syncs the end of the last segment and the folder of values, because the process relies on what it
// reads there. The removal of old segments and versions is not synced: a power loss may restore them, and they are then ignored.
//
// # Failures
//
// Commits and versions whose write has returned survive a power loss. A commit that is torn by a power loss is at the end of the
// last segment. It was not acknowledged, and the next start truncates it. Any other data that is truncated, torn, altered, missing
// or misplaced is a CorruptRecordError: then nothing in the folder is used or changed.
package storage
