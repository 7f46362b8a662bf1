package sockets

import "testing"

// Processes that are started one after another must not be given the same address before the first listens on it.
func TestFreeAddressesDiffer(t *testing.T) {
	const addresses = 2000
	seen := map[string]bool{}
	for range addresses {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
