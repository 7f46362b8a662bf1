// Package batch runs many simulations in parallel and saves their results to files. The results are in the order of the plans,
// whatever the number of workers, so that the same plans give the same bytes.
package batch
