// Package simulation tests control under faults in a deterministic simulation with virtual time. It contains only tests.
//
// Members, hosts, stores, subscribers and operators communicate over links that can be cut in each direction. A frozen member executes
// nothing and processes the messages that arrived in the meantime when it resumes. Decisions are made by the packages lease, replica,
// consensus, membership and state; the code around them is replaced by simulated adapters (member*_test.go). Everything that happens is
// an event of one schedule (schedule_test.go), and all random values are drawn from one seed, so that a seed always produces the same
// events (digest_test.go).
//
// There are two simulations:
//
//   - faults_test.go: an adversary (adversary_test.go) cuts links and freezes members, and an oracle (oracle_test.go) fails the seed if
//     an old configuration is served after its lease has expired, a confirmed change is lost or missed by a read, a live host or store
//     is considered failed, a connected majority accepts no changes, or the primary of an undisturbed majority is replaced.
//   - linearizability_test.go: several operators change and read the configuration through any member
//     (linearizability_operators_test.go) while a separate adversary (linearizability_adversary_test.go) cuts off, freezes and restarts
//     members, and on some seeds up to 90 % of the answers are lost. Each operator repeats its call until it gets a definite answer. The
//     porcupine checker verifies that the answers are linearizable (Herlihy and Wing, "Linearizability", 1990) with respect to a
//     compare-and-set register that remembers the results of changes (linearizability_model_test.go).
package simulation
