// Command ottertier is the former name of otterseam-tier; it says so and runs nothing.
package main

import "otterseam/internal/renamed"

func main() { renamed.Exit("ottertier", "otterseam-tier") }
