// Command otterkeep is the former name of otterseam-quotastore. It prints the new name and exits.
package main

import "otterseam/internal/renamed"

func main() { renamed.Exit("otterkeep", "otterseam-quotastore") }
