// Package replica replicates the commands of a state machine from a primary to its backups, after PacificA (Lin, Yang, Zhang and
// Zhou, "PacificA: Replication in Log-Based Distributed Storage Systems", Microsoft Research, 2008).
//
// A command is committed when every replica of the in-sync set has it on disk. A majority is not sufficient. The primary and the
// in-sync replicas are chosen outside the package, by whatever decides failover for the group, and are passed in as a View with
// an epoch. Two things differ from the paper: instead of leases, the primary uses probes to prove its contact with a majority of
// the voters (see ConfirmedSince), and a replica whose log can't be continued is sent a snapshot in chunks.
//
// The package reads no clock, starts no goroutine and does no I/O. The caller passes in the time, messages and completed writes,
// and receives messages, writes and committed commands as an Output. A Group has one owner and is not safe for concurrent use.
// All times are milliseconds of one monotonic clock of the process.
//
// # Layout on disk
//
// The package defines no on-disk format. It returns each Write once: a Snapshot that replaces everything before it, then entries
// that replace those at or above the first one's index. At the next start, the owner passes the stored snapshot and entries to
// NewGroup. Package storage keeps both as records of a journal.
//
// # Durability
//
// The owner performs the writes in order, syncs them, and then calls WriteCompleted and MarkDurable. A replica acknowledges an
// entry, and a primary counts its own copy of it, only after MarkDurable. The entries that a snapshot covers are acknowledged only
// once the snapshot is on disk. Commands are passed to the state machine when they are committed. Its state is not synced but
// rebuilt from the snapshot and the log.
//
// # Fault tolerance
//
// A committed command is on the disks of all replicas that were in sync at that time, at least View.MinInSync of them. It
// survives a power loss of all processes, and the permanent loss of all but one of the in-sync disks; View.ToleratedLosses returns
// their number. If a disk lost the end of its log, for example because an older copy was restored, the replica's next response
// reveals it and Output.Regressed lists the replica.
package replica
