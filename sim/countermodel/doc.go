// Package countermodel models the shared counter and its faults. The counter holds named sums, which are distributed over partitions
// of limited capacity. It must not depend on the meaning of the names.
package countermodel
