// Package server is the gateway on sockets, built round the deciding policy of gateway/policy.
//
// # Who owns what
//
//   - [EventLoop] owns the policy, the invocations in progress, their deliveries and the gateway's one timer (eventloop.go,
//     invocation.go, delivery.go, policyoutput.go). It decides nothing itself and never waits for a socket.
//   - [ClientListener] owns the listener and the connections of clients (clientlistener.go, clientconn.go). The states of a connection
//     are those of clientState; idle ones are ended in clientidle.go, all of them at the gateway's end in clientshutdown.go. What a
//     request asks for is read in clientrequest.go.
//   - [HostPool] owns the connections to hosts, with one delivery on each at a time (hostpool.go, hostdelivery.go, hostconn.go).
//   - [CounterClient] owns eight pipelined connections to the counter service and the calls on them (counterclient.go, countercall.go,
//     counterconn.go).
//   - [DiscoveryClient] owns the watch on the list of hosts and how far the list is known (discoveryclient.go, watchstream.go,
//     streamtext.go, hostlist.go).
//   - [StoreStream] owns the stream to the quota store and the invocations that wait for a marker (storestream.go, storeusage.go,
//     storemarkers.go, storeconn.go).
//   - [PeerSocket] owns the datagram socket between gateways (peers.go).
//   - [BufferPool] lends the buffers in which messages are read and written (bufferpool.go). A buffer has one owner at a time.
//
// Each part closes its connections in one place: clientConn.close, hostConn.readLoop, counterConn.serveConn,
// DiscoveryClient.serveStream, StoreStream.serveConn, PeerSocket.Write.
//
// # Goroutines
//
// EventLoop.Run is one goroutine. A client connection has two (readLoop, serve), a host connection two (readLoop, which also dials,
// and writeLoop), a counter connection two, the stream to the quota store two, discovery one for each address and one for each
// stream, the peers two, the listener two (Accept, ReapIdle). All live in the errgroup that the constructors are given, and end
// with its context.
//
// Sockets reach the event loop by functions on one bounded queue (EventLoop.post), for which they may wait. The loop hands over only
// to places that always have room: a client connection is owed one response at most, a host connection has one delivery, and a
// counter connection takes calls into a list of at most 64. The functions posted for each request, delivery and call are made once
// for each connection or call, not once for each use.
//
// # Locks
//
// What belongs to the event loop has no lock. clientConn.mu, hostConn.mu, counterConn.mu and StoreStream.mu guard what a connection's
// two sides share; ClientListener.mu guards the set of connections, and is held while a clientConn.mu is taken, never the other way
// round; DiscoveryClient.mu is held while a list is posted, so that lists reach the loop in their order. Bytes are read from client,
// host and counter connections under the connection's lock, in one step with what they mean (readOnce): none have left the system
// that the state does not know of.
//
// # Life of a request
//
//  1. clientConn.readLoop reads it into a buffer; clientConn.serve takes it. Malformed, it is answered at once; else it is posted to
//     EventLoop.accept, and a next request waits until its response is written.
//  2. EventLoop.accept refuses a reference in use, waits for a marker where the quota store holds them (StoreStream.awaitMarker), and
//     admits the invocation to the policy.
//  3. The policy may ask for a call to the counter (EventLoop.AddCount) and hears of its total (CounterClient.report).
//  4. It decides (EventLoop.decide, carryOut): throttle, fail, or send to a host. HostPool.send gives the delivery a connection or has
//     it wait for one; HostPool.handOver checks all that allowed it once more and lets it go.
//  5. hostConn.readLoop reads the answer whole; hostConn.deliveryEnded tells the policy (EventLoop.deliveryEnded), which decides on
//     a retry unless the delivery succeeded.
//  6. EventLoop.finish hands the one final response to the client's connection, which writes it and gives the buffers back.
//
// # Times and errors
//
// Clock times are seconds since 1970 as float64: the wall clock at start plus the monotonic clock since (EventLoop.clock). Errors of
// single connections end those connections; what others sent that makes no sense is logged, a few lines a second. Constructors
// return the errors of addresses and of listening as the net package gives them.
//
// docs/gateway.md tells what each part must never do and why, docs/crossings.md what may happen between two steps.
package server
