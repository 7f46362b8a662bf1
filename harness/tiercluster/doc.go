// Package tiercluster runs a whole serving tier as real processes on loopback, each machine with an address of its own, so that
// tests and people can try it, stop parts of it and take their disks away.
package tiercluster
