// Package directory defines what control distributes: hosts, store machines, shards, members of control and ejections, as items
// of a feed. It has one encode and one decode for each kind of item, the keys of the items, and readers of a feed.View.
//
// The encoded forms are the same on the wire and in the snapshots of control, so they are held to recorded bytes. A field can only
// be added behind the others.
//
// # Invariants
//
//   - An identity belongs to a disk, an incarnation to one run of a process: a store that was started again has its identity and
//     another incarnation.
//   - Each shard carries the total number of shards. A program belongs to the shard whose ID is its CRC-32 modulo this total, which
//     every process computes alike.
//
// # What it must not do
//
// It decides nothing: package placement says which stores hold a shard, package outlier which hosts are ejected. Readers of a view
// skip an item that cannot be decoded; the others stay usable.
package directory
