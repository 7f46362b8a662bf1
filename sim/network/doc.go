// Package network models the paths between machines: how long a message takes, and which zones are partitioned, connections
// reset and answers lost at present. It must never know what travels.
package network
