// Package leakcheck finds goroutines and file descriptors that a test leaves behind. It imports package testing and must never be
// linked into a program that serves.
package leakcheck
