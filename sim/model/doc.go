// Package model declares the data that the parts of a simulation exchange: customers, their requests, the invocations by which their
// clients send a request to an api gateway, and the attempts that a gateway sends to hosts. It contains no clock, rules or queues.
//
// All times are seconds of virtual time.
package model
