// Package search looks for the run on which a policy does worst within the ranges of a scenario, then takes away what does not matter,
// so that the scenario that is left shows its cause.
package search
