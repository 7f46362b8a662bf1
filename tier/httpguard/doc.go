// Package httpguard watches the connections of an HTTP server for cases that net/http does not report to handlers and that a gateway
// must handle: requests with more than one Content-Length header or with both Content-Length and Transfer-Encoding, heads that take
// too long or are too large, and clients that close the connection after they have sent the first bytes of another request. It also limits
// the number of connections, and reserves the memory of heads and bodies as they arrive (package memorybudget).
//
// A Guard wraps the listener of a server (Listen) and tracks the states of its connections (Install). Only the server's goroutine
// reads a connection. The connection's mutex synchronizes these reads with the handlers of its requests.
package httpguard
