// Package tiercluster runs a complete serving tier as real processes on loopback addresses, one address per simulated machine. Tests
// and developers use it to send requests, stop machines and delete their disks.
package tiercluster
