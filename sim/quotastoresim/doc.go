// Package quotastoresim runs servers of the quota store on a simulated network under faults of streams, disks, processes and clocks,
// and checks the results that clients received. The servers run the production code of package replication.
//
// # Scope
//
// A simulation is the run of one seed. It consists of servers with their processes and disks, the network between them, injected
// faults, a workload and the verdict. The seed determines the whole run.
//
// # Verdict
//
// A verdict states whether these guarantees held: no acknowledged command is lost, no usage is counted twice, no second delivery of an
// invocation is granted, and once faults have ended all groups have a leader and all their replicas again. Histories of adds are
// checked for linearizability by porcupine (Athalye, 2017, after Horn and Kroening, "Faster linearizability checking via
// P-compositionality", 2015).
//
// # Invariants
//
// Only faults that the store's guarantees cover are injected: at most a minority of a group's machines is lost with its disks at once,
// and only while all replicas know each other.
package quotastoresim
