// Package oracle judges a simulation from outside: whether the five rules of the gateway were kept, and what of each customer's
// quota was really used. It sees what happens, never what an api gateway knows, and must never change anything.
//
// The rules: each invocation that was taken gets exactly one final answer in time, and nothing is done for it after that (1); an
// operation runs again only as often as its effect allows, and one attempt at a time (2); a host that leaves gets no new work (3); a
// cold host is not overloaded by gateways that know of its start (4); no customer passes its ceiling (5).
package oracle
