// Package control keeps the tier's control state: the configuration, the hosts and store machines that exist, and who holds
// which shard. The state is replicated from a primary to its backups; each control process also serves it to subscribers.
package control
