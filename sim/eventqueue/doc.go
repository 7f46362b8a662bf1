// Package eventqueue is the kernel of the simulations in virtual time: a clock and a priority queue of callbacks. It knows
// nothing of what the callbacks do.
//
// Times are seconds of virtual time. Events due at the same moment run in the order in which they were scheduled, so that a
// simulation with the same seed runs the same on any machine.
package eventqueue
