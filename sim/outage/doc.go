// Package outage measures a simulated outage of all hosts: what all api gateways together sent into it, and how soon the value
// served came back afterwards. It reads the results of package batch and runs nothing itself.
package outage
