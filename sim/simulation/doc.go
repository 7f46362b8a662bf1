// Package simulation runs a scenario in virtual time: it creates the models of hosts, api gateways, counter, network and customers,
// connects them, and starts and ends the scenario's faults. It must never make a decision of an api gateway, and it leaves the checking
// of rules to package oracle.
package simulation
