// Package leakcheck detects goroutines and file descriptors that a test leaks. It imports package testing and must never be linked
// into a production program.
package leakcheck
