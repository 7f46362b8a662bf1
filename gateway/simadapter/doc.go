// Package simadapter runs gateways for the simulator. It reads batches of the line protocol (gateway/simprotocol), passes their
// messages to the gateways' policies through gateway/policydriver, and replies with the commands that the policies issue. It
// stores the gateways and the host lists by number and makes no policy decisions itself.
package simadapter
