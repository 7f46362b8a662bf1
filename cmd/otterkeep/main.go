// Command otterkeep is the former name of otterseam-quotastore; it says so and runs nothing.
package main

import "otterseam/internal/renamed"

func main() { renamed.Exit("otterkeep", "otterseam-quotastore") }
