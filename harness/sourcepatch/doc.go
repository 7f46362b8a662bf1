// Package sourcepatch builds a program of this module with injected faults. Tests use it to show that a fault is detected. The
// faults are passed to go build as an overlay, so the source itself doesn't contain them. The package must never write to the
// source.
package sourcepatch
