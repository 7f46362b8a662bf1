// Package overlap keeps the magnitudes of overlapping faults. A magnitude is added when its fault begins and removed when it ends.
// Faults may end in any order. The package does not depend on the meaning of the magnitudes.
package overlap
