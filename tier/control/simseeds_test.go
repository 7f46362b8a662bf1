//go:build !race

package control

// simStandardSeeds is how many seeds of the simulation are played unless the variable says otherwise.
const simStandardSeeds = 200
