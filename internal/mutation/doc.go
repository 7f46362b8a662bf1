// Package mutation holds defects that are put into test builds on purpose (build tag seeded), to see that the fault scripts of
// harness/fleet and the simulations of sim/quotastoresim catch them. In every other build each is a constant false, and its
// code is not in the program. In a build with the tag the one that the environment variable EDGE_SEEDED names is on.
package mutation
