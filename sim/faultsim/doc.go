// Package faultsim simulates replica groups in virtual time on machines, disks and a network that fail. The groups decide with the
// tier's production code: a shard with package placement (SimulateShard), and the control group with packages consensus and
// membership (SimulateControl). An adversary destroys disks one after the other, preferably those of the replicas that the group
// depends on most. An oracle checks that no acknowledged command is lost or applied twice, and that the group recovers once fault
// injection has ended.
//
// The simulations read no clock and never sleep: a seed determines the whole run. Times are milliseconds of virtual time.
package faultsim
