// Command otterlab is the former name of otterseam-sim; it says so and runs nothing.
package main

import "otterseam/internal/renamed"

func main() { renamed.Exit("otterlab", "otterseam-sim") }
