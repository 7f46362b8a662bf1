// Package sourcepatch builds a program from its own source with faults put in, through the overlay of go build: tests show with
// it that a fault is found. The source itself has no trace of the faults. The package must never write into the source.
package sourcepatch
