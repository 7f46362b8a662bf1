// Package scenariogen generates days of disruptions for the serving tier, plays them with a bench program and shrinks those that
// broke a rule to the shortest day that still breaks it. What a day holds depends on the seed, the site and the bench's list of
// kinds alone.
//
// A Generator makes a Day of a seed; a Bench plays it and reads its Report; a Campaign does both for many seeds and sites, and
// Shrink takes away what a broken rule doesn't need. All but Bench and Campaign is pure: it reads no file, no clock and no
// environment.
package scenariogen
