// Package outage measures a simulated outage of all hosts: how many attempts all api gateways sent during it, and how soon afterwards
// the value served recovered. It evaluates results of package batch and runs no simulations itself.
package outage
