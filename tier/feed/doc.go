// Package feed distributes what control has decided, from control to the agents and from each agent to the proxy of its machine.
//
// A View is a set of items, each with the revision that last changed it, as in etcd's watch: a subscriber gets a snapshot and
// then the changes after the revision at which it stands. The same type stands at the source (control), at each relay (agent)
// and at each end (proxy); Publisher and Subscriber carry updates between two of them over package rpc.
//
// # Invariants
//
//   - Items change only forwards: a view never goes back to an older revision of an item, nor of itself.
//   - All items of one revision become visible together.
//   - Revisions belong to one cluster. A view that knows its cluster takes no update of another one, however high its revision.
//   - Deletions are remembered as tombstones, up to a bound. A subscriber that stands before the newest tombstone that was
//     dropped gets a snapshot, so that it misses no deletion.
//   - Some sections are private to control: a snapshot for its own disk (View.Export) has them, an update for subscribers does not.
//
// # The life of one change
//
// Control's state machine calls View.Put at the revision of a committed command. That wakes Publisher.stream of every
// connection, which waits a moment so that changes are batched, encodes what the subscriber lacks (once for all subscribers at
// the same revision) and sends it. The Subscriber decodes it, merges it into its own view and calls OnChange. That view wakes the
// publisher of the next hop in the same way.
//
// # What it must not do
//
// It does not interpret the data of an item (package directory does), and it decides nothing: whether a publisher is fresh enough
// to serve is asked of its owner.
package feed
