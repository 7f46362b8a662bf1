// Package feed distributes the decisions of the control processes to the agents, and from each agent to the proxy on its machine.
//
// A View is a set of items, each with the revision that last changed it. As with a watch in etcd, a subscriber gets a snapshot and then
// the changes after its own revision. The source (a control process), each relay (an agent) and each consumer (a proxy) hold a View.
// Publisher and Subscriber carry updates between two of them over package rpc.
//
// # Invariants
//
//   - Revisions only increase: a view never returns to an older revision of an item or of itself. The exception is View.Restore.
//   - All items of one revision become visible together.
//   - Revisions belong to one cluster. A view with a cluster ID rejects updates of other clusters, whatever their revisions.
//   - Deletions are kept as tombstones, up to a limit. A subscriber whose revision is older than the newest dropped tombstone gets a
//     snapshot, so that it misses no deletion.
//   - Some sections are private to the control processes: a snapshot for their own disks (View.Export) contains them, but an update for
//     subscribers does not.
//
// # The path of one change
//
// The state machine of a control process calls View.Put at the revision of a committed command. That wakes Publisher.stream of every
// connection, which waits for a short time to batch changes, encodes the items that the subscriber lacks (once for all subscribers at
// the same revision) and sends them. The Subscriber decodes the update, merges it into its own view and calls OnChange. That view wakes
// the publisher of the next hop in the same way.
//
// # Out of scope
//
// The package does not interpret the data of an item, which package directory does. It also does not determine whether a publisher is
// fresh enough to serve: the publisher's owner provides that check.
package feed
