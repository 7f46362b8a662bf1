// Package multigroup keeps the replicas of many groups in one process. Package replica decides; a Node carries out: it makes
// writes durable, sends messages, lets time go on and hands results to those who wait for them.
//
// # Parts and their owners
//
// A Node guards its groups and the proposals that wait for them by one mutex; whatever changes a group is followed by carryOut
// under it. The writer owns the journal and the queue of writes: one goroutine writes all that is queued in one group commit and
// then reports it durable to the groups. The transport owns the addresses of other nodes and the form of messages. The identity
// owns what the disk says of itself. Run starts the writer and ticks, and returns when both have ended.
//
// # Layout on disk
//
// The data folder holds two folders of package storage:
//
//   - values: "identity", a number drawn when the folder was empty; "installation", the ID of the cluster to which the disk is
//     bound; "starts", how often a process was started on it; each as 8 bytes, big endian. Callers keep values of their own
//     beside them.
//   - journal: the entries and snapshots of all groups in the order in which they were written.
//
// # What is synced when
//
// A group commit is one write and one sync, whatever the number of groups in it; replicas are told that entries are durable only
// after it. A write that fails is tried again at the same place and nothing is acknowledged meanwhile. The journal is compacted,
// which writes the state of all groups as one commit, when it has grown enough. Identity and cluster ID are synced before they
// are used. The number of starts is written at the start; where that fails the next start has the same number.
//
// # What survives which loss
//
// A loss of power takes what was queued and not synced, which nobody has acknowledged. A disk lost for good is replaced by an
// empty one, under another identity: replica then fills it from the primary. A disk of another cluster, or an older copy of a
// disk put back, is found out by the cluster ID and the number of starts in each message; its messages are dropped and named in
// the log.
package multigroup
