// Package report writes the results of simulations as text for a terminal and as one HTML page with embedded charts. It must never
// compute a figure that the results do not hold, except for sums, means and standard deviations.
package report
