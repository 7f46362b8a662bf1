// Package overlap keeps the magnitudes of faults that overlap: each is added when its fault begins and removed when it ends, in
// any order. It knows nothing of what they mean.
package overlap
