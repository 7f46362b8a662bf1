// Package model declares the data that the parts of a simulation hand to each other: customers, the requests that they make,
// the invocations by which they ask an api gateway, and the attempts that a gateway makes at hosts. It knows no clock, no rule
// and no queue.
//
// All times are seconds of virtual time.
package model
