// Package faultsim simulates replica groups in virtual time on disks, machines and a network that fail, under the decisions that
// the tier takes in service: a shard under package placement (SimulateShard), and the control group under packages consensus and
// membership (SimulateControl). An adversary takes disks away one after the other, each time from the replica that protects most;
// an oracle checks that nothing acknowledged is lost or applied twice, and that the group recovers once no more faults come.
//
// No clock is read and nothing sleeps: a seed decides everything. Times are milliseconds of virtual time.
package faultsim
