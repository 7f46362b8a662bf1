// Package proxy is the data plane of the serving tier: it takes the requests of clients, finds their routes, charges the budgets of
// agent programs, and sends the requests to hosts. It serves from the view that the agent on its machine feeds it.
//
// The way of a request is Proxy.serve (server.go), which reads it whole, and then servePlain (plain.go) for a response that is
// forwarded whole, or serveTurn (turn.go) for a stream of events: begin charges the turn at the stores, relay (relay.go) streams it
// from one host after the other until it is complete, and settle (settle.go) reports what the client received. Which host, until when
// and whether once more is decided by the pure packages balance, hangdetect, retryafter and attempt.
package proxy
