// Package randstream provides a separate stream of random numbers for each part of a simulation, so that an additional draw in one part
// does not change the draws in another. It has no state other than the streams.
package randstream
