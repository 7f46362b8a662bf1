//go:build !race

package simulation

// defaultSeeds is how many seeds of the simulation are played unless the variable says otherwise.
const defaultSeeds = 200
