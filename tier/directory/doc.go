// Package directory defines the feed items that control distributes: hosts, store machines, shards, members of control and
// ejections. It has an encoder and a decoder for each kind of item, the keys of the items, and functions that read them from a
// feed.View.
//
// The encoded forms are the same on the wire and in the snapshots of control. Tests compare them with recorded bytes. A new field can
// only be appended after the existing ones.
//
// # Invariants
//
//   - An identity belongs to a disk, an incarnation to one run of a process: a restarted store has the same identity and a new
//     incarnation.
//   - Each shard carries the total number of shards. A program belongs to the shard whose ID is the CRC-32 of the program's name
//     modulo this total, so that every process computes the same shard.
//
// # Limits
//
// The package makes no decisions: package placement determines which stores hold a shard, and package outlier which hosts are
// ejected. The functions that read a view skip an item that cannot be decoded and return the others.
package directory
