// Package misbehavior starts crowds of clients that don't behave, each of which keeps its connection open after it has sent what it
// has to send, and measures the processes that serve them: peak memory and open descriptors.
package misbehavior
