// Package search finds the run with the worst score of a policy within the ranges of a scenario. It then removes faults and resets
// values that are not needed for the bad score, so that the remaining scenario shows its cause.
package search
