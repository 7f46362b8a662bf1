// Package netproxy proxies traffic between processes on one machine and injects network faults. It forwards the streams and datagrams
// between two processes over a Link, on which callers add and remove faults while it carries traffic. The package must never interpret
// the forwarded data, use an interface other than loopback, or inject a fault that no caller added.
package netproxy
