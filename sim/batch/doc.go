// Package batch runs many simulations at once and keeps their results in files. The order of the results is that of the plans,
// whatever the number of workers, so that the same plans give the same bytes.
package batch
