// Package proxy implements the data plane of the serving tier. It accepts requests from clients, matches them to routes, charges the
// budgets of agent programs, and sends the requests to hosts. Its routes, hosts and shards come from the view that the agent on the
// same machine publishes.
//
// Proxy.serve (server.go) reads a request completely. After that, servePlain (plain.go) handles a response that is buffered before it
// is forwarded, and serveTurn (turn.go) handles a stream of events: begin charges the turn at the stores, relay (relay.go) streams the
// response from one host after another until it is complete, and settle (settle.go) reports the received tokens to the stores. The
// pure packages balance, hangdetect, retryafter and attempt decide which host serves a request, how long it may take, and whether
// it is retried.
package proxy
