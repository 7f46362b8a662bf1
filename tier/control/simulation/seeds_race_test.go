//go:build race

package simulation

// defaultSeeds is lower with the race detector, which slows the simulation down and can find little in it, because a seed runs in one
// goroutine.
const defaultSeeds = 20
