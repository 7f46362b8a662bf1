//go:build !race

package simulation

// standardSeeds is how many seeds of the simulation are played unless the variable says otherwise.
const standardSeeds = 200
