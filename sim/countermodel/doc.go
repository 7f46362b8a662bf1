// Package countermodel models the shared counter: named sums, spread over partitions of limited capacity, and the faults that it
// may meet. It must never know what a name stands for.
package countermodel
