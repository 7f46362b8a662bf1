// Package replica replicates the commands of a state machine from a primary to its backups, after PacificA (Lin, Yang, Zhang and
// Zhou, "PacificA: Replication in Log-Based Distributed Storage Systems", Microsoft Research, 2008).
//
// A command is committed when every replica of the in-sync set has it on disk; no majority of replicas decides anything about
// it. Which replica is the primary and which are in sync is decided outside, by whoever decides failover for the group, and comes
// in as a View with an epoch. Two things differ from the paper: instead of leases the primary proves its contact with a majority
// of the voters by probes (see ConfirmedSince), and a replica whose log can't be continued is sent a snapshot in chunks.
//
// The package is pure: time, messages and finished writes go in; messages, writes and committed commands come out as an Output.
// It reads no clock, starts no goroutine and does no I/O. A Group has one owner and is not safe for concurrent use. All times
// are milliseconds of one monotonic clock of the process.
//
// # Layout on disk
//
// The package has no format of its own on disk. It hands out each Write once: a Snapshot that replaces all before it, then
// entries that replace those at or above the first one's index. What was found there is given back to NewGroup at the next start.
// Package storage keeps both as records of a journal.
//
// # What is synced when
//
// The owner carries writes out in their order, syncs them, and then calls WriteCompleted and MarkDurable. A replica acknowledges
// an entry, and a primary counts its own copy of it, only after MarkDurable. A snapshot counts as received once it is on disk.
// Commands are handed to the state machine when they are committed; its state is not synced but made anew from snapshot and log.
//
// # What survives which loss
//
// A committed command is on the disks of all replicas that were in sync then, at least View.MinInSync of them. It survives the
// loss of power of all processes, and the loss for good of all but one of the in-sync disks; View.ToleratedLosses counts these.
// A disk that lost its end, as after an older copy of it was put back, is found out by its next answer and named in
// Output.Regressed.
package replica
