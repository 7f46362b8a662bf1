// Command ottertier is the former name of otterseam-tier. It prints the new name and exits.
package main

import "otterseam/internal/renamed"

func main() { renamed.Exit("ottertier", "otterseam-tier") }
