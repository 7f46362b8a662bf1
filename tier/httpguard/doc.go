// Package httpguard watches the connections of an HTTP server for what net/http settles by itself and a gateway has to handle:
// requests whose body has two lengths or a length beside chunks, heads that take too long, and clients that leave behind the first
// bytes of a further request.
//
// A Guard wraps the listener of a server (Listen) and follows the states of its connections (Install). Each connection is read by
// the server's goroutine alone; its mutex orders that with the handlers of its requests.
package httpguard
