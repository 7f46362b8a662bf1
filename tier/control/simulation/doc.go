// Package simulation plays control in virtual time, under faults. It holds tests alone.
//
// Members, hosts, stores, subscribers and operators run on links that can be cut in each direction, with members that stand still and
// read late what came meanwhile. Decisions are those of the packages lease, replica, consensus, membership and state; the adapters
// around them are played here (member*_test.go). Everything that happens is an event of one schedule (schedule_test.go), and all that
// is random is drawn from one seed, so that a seed plays the same events for ever (digest_test.go).
//
// There are two simulations:
//
//   - faults_test.go: an adversary (adversary_test.go) cuts links and has members stand still, and an oracle (oracle_test.go) fails the
//     seed when an old configuration is handed out past its lease, a confirmed change is lost or missed by a read, a live host or store
//     is given up, or a connected majority takes no changes.
//   - orders_test.go: several operators change and read the configuration through any member (orders_operators_test.go) while an
//     adversary of its own (orders_adversary_test.go) cuts off, freezes and restarts members, and most answers are lost. Each repeats
//     its order until it gets a clear answer. What they saw has to be the history of one compare-and-set that knows the orders it
//     answered (orders_model_test.go), as porcupine judges (Herlihy and Wing, "Linearizability", 1990).
package simulation
