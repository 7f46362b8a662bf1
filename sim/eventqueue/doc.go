// Package eventqueue is the kernel of the simulations in virtual time: a clock and a priority queue of callbacks. It does not depend
// on what the callbacks do.
//
// Times are seconds of virtual time. Events due at the same moment run in the order in which they were scheduled, so that a simulation
// with a given seed runs the same on any machine.
package eventqueue
