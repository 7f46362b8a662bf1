// Package quotastoresim runs servers of the quota store on a simulated network, with streams, disks, processes and clocks as the
// adversary, and judges what clients were told. The servers decide with the true code of package replication.
//
// # What it owns
//
// A simulation is one seed: servers with their processes and disks, the network between them, the faults that are injected, a
// workload, and the verdict. Everything follows from the seed: the same seed is the same run.
//
// # What a verdict says
//
// What was acknowledged is not lost; nothing is counted twice; no second delivery of an invocation is let through; and once
// faults are over all groups have a leader and all their replicas again. Histories of adds are checked for linearizability by
// porcupine (Athalye, 2017, after Horn and Kroening, "Faster linearizability checking via P-compositionality", 2015).
//
// # Invariants
//
// No fault strikes that the store's guarantees do not cover: at most a minority of a group's machines is lost with its disks at once,
// and only while all replicas know of each other.
package quotastoresim
