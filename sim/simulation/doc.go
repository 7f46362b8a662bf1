// Package simulation runs a scenario in virtual time: it makes the models of hosts, api gateways, counter, network and customers,
// connects them, and lets the scenario's faults begin and end. It must never decide for an api gateway, nor judge.
package simulation
