// Package network models the network between machines: message delays, partitions between zones, connection resets and lost answers.
// It must not depend on the contents of messages.
package network
