// Package placementsim simulates in virtual time how gateways of the serving tier choose hosts, and measures how long requests wait for
// a slot and how unevenly hosts are loaded.
//
// Hosts are chosen by package balance and loads are exchanged through the state machines of package fleetload. The network, the hosts
// and the arrivals are modelled. The policies differ in the loads that a choice is based on: those that a gateway knows itself, those
// of the whole fleet, which it learns through the homes of the zones, and the actual loads. The last policy, the omniscient choice, is
// not possible in a real gateway and bounds the results of any other.
package placementsim
