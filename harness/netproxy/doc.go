// Package netproxy stands between processes on one machine and injects network faults. Streams and datagrams between two processes are
// led over a Link, on which faults are added and removed while it carries traffic. The package must never read what it passes on,
// leave the loopback interface, or inject a fault by itself.
package netproxy
