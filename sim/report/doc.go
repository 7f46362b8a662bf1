// Package report writes what simulations showed: as text for a terminal, and as one HTML page with its charts in it. It must never
// compute a figure that the results do not hold, beyond sums, means and their spread.
package report
