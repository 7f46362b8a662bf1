// Package metrics counts what happens in a simulation: by second, by plan, by operation and by how much of its quota a customer
// uses. It adds up and must never judge.
//
// The JSON keys of Results are those of files that were kept, and so stay as they are.
package metrics
