// Package multigroup runs the replicas of many groups in one process. Package replica contains the protocol and does no I/O. A Node
// does the I/O for it: it makes writes durable, sends messages, advances the clock and returns results to the callers that wait for
// them.
//
// # Components and ownership
//
// A Node guards its groups and their pending proposals by one mutex. Each change of a group is followed by processOutput under the
// same lock. The writer owns the journal and the queue of writes: one goroutine writes all queued writes in one group commit and
// then reports them as durable to the groups. The transport owns the addresses of other nodes and the message format. The
// diskIdentity owns the identity, cluster ID and start counts that are stored on the disk. Run starts the writer and the ticks, and
// returns when both have ended.
//
// # Layout on disk
//
// The data folder holds two folders of package storage:
//
//   - values: "identity", a random number generated when the folder was empty; "installation", the ID of the cluster to which the
//     disk is bound; "starts", how often a process was started on it; each as 8 bytes, big endian. "known-starts" holds the start
//     counts of other nodes. Callers may store their own values in the same folder.
//   - journal: the entries and snapshots of all groups in the order in which they were written.
//
// # Durability
//
// A group commit is one write and one sync, regardless of the number of groups in it. Entries are reported as durable to the
// replicas only after the sync. A failed write is retried at the same offset, and nothing is acknowledged until it succeeds. When
// the journal has grown enough, it is compacted: the state of all groups is written as one commit. Identity and cluster ID are
// synced before they are used. The start count is written when the process starts. If that write fails, the next start has the same
// number.
//
// # Failures
//
// A power loss discards writes that were queued but not synced. None of them was acknowledged. A disk that is lost permanently is
// replaced by an empty one with a new identity, and package replica copies the state from the primary. A disk of another cluster and
// a restored older copy of a disk are detected by the cluster ID and the start count in each message. Their messages are dropped
// and an error is logged.
package multigroup
