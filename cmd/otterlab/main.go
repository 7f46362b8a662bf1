// Command otterlab is the former name of otterseam-sim. It prints the new name and exits.
package main

import "otterseam/internal/renamed"

func main() { renamed.Exit("otterlab", "otterseam-sim") }
