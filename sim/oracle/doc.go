// Package oracle checks a simulation against the five rules of the gateway and measures how much of its quota each customer used. It
// observes events of the whole simulation, has no access to the state of the api gateways, and must never change the simulation.
//
// The rules are:
//
//  1. Each accepted invocation gets exactly one final answer in time, and no attempt is sent for it afterwards.
//  2. An operation is repeated only as its effect allows, with one attempt at a time.
//  3. A host that is leaving gets no new work.
//  4. Gateways that know that a host has just started don't overload it.
//  5. No customer exceeds its ceiling.
package oracle
