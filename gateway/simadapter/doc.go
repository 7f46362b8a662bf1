// Package simadapter runs gateways for the simulator: it takes batches of the line protocol (gateway/simprotocol), passes
// their messages to the gateways' policies by way of gateway/policydriver, and answers with the commands they give. It keeps
// the gateways and the lists of hosts by their numbers, and decides nothing.
package simadapter
