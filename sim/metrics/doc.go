// Package metrics counts what happens in a simulation: by second, by plan, by operation and by how much of its quota a customer
// uses. It only adds up figures and must never check rules.
//
// The JSON keys of Results are part of the format of saved files and must not change.
package metrics
