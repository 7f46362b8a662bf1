// Package placementsim simulates in virtual time how gateways of the serving tier choose hosts, and measures how long requests wait for
// a slot and how unevenly hosts are loaded.
//
// The choices are those of package balance and the loads travel through the state machines of package fleetload; network, hosts and
// arrivals are modelled. Three policies are compared: what a gateway knows by itself, what it knows of the whole fleet through the homes
// of the zones, and an omniscient choice, which no gateway can make and which bounds what any could reach.
package placementsim
