// Package mutation declares defects that are compiled into test builds deliberately (build tag seeded), to check that the fault
// scripts of harness/fleet and the simulations of sim/quotastoresim detect them. In every other build each defect is a constant
// false, and the compiler removes its code. A build with the tag enables the defect named by the environment variable
// EDGE_SEEDED.
package mutation
