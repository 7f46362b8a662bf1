// Package scenariogen generates random fault scenarios, called days, for the serving tier. It runs them with an external bench program
// and shrinks a day that violated a rule to the shortest day that still violates it. A day depends only on the seed, the site and
// the bench's list of disruption kinds.
//
// A Generator creates a Day from a seed. A Bench runs a Day and reads its Report. A Campaign does both for many seeds and sites.
// Shrink removes everything from a day that isn't needed to violate the rule. Everything except Bench and Campaign is pure: it reads
// no files, no clock and no environment.
package scenariogen
