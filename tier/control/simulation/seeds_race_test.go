//go:build race

package simulation

// defaultSeeds is lower with the race detector, which slows the simulation down and has little to find in it: a seed runs in one
// goroutine.
const defaultSeeds = 20
