//go:build !race

package simulation

// defaultSeeds is the number of seeds that are simulated if TIER_CONTROL_SEEDS isn't set.
const defaultSeeds = 200
