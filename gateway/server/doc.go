// Package server connects the decision policy of gateway/policy to sockets.
//
// # Ownership
//
//   - [EventLoop] owns the policy, the invocations in progress, their deliveries and the gateway's only timer (eventloop.go,
//     invocation.go, delivery.go, policyoutput.go). It makes no decisions itself and never blocks on a socket.
//   - [ClientListener] owns the listener and the client connections (clientlistener.go, clientconn.go). clientState holds the state
//     machine of a connection. clientidle.go closes idle connections, clientshutdown.go closes all of them at shutdown.
//     clientrequest.go parses and validates requests.
//   - [HostPool] owns the connections to hosts. Each carries one delivery at a time (hostpool.go, hostdelivery.go, hostconn.go).
//   - [CounterClient] owns eight pipelined connections to the counter service and the calls on them (counterclient.go, countercall.go,
//     counterconn.go).
//   - [DiscoveryClient] owns the watch on the host list and the version up to which the list is known (discoveryclient.go,
//     watchstream.go, streamtext.go, hostlist.go).
//   - [StoreStream] owns the stream to the quota store and the invocations that wait for a marker (storestream.go, storeusage.go,
//     storemarkers.go, storeconn.go).
//   - [PeerSocket] owns the UDP socket between gateways (peers.go).
//   - [BufferPool] provides the buffers for reading and writing messages (bufferpool.go). A buffer has one owner at a time.
//
// Each part closes its connections in exactly one place: clientConn.close, hostConn.readLoop, counterConn.serveConn,
// DiscoveryClient.serveStream, StoreStream.serveConn, PeerSocket.Write.
//
// # Goroutines
//
// EventLoop.Run is one goroutine. A client connection has two (readLoop, serve), a host connection two (readLoop, which also dials,
// and writeLoop), a counter connection two, the stream to the quota store two, discovery one per address and one per stream, the
// peer socket two, the listener two (Accept, ReapIdle). All run in the errgroup passed to the constructors and end with its context.
//
// Socket goroutines reach the event loop by posting functions to one bounded queue (EventLoop.post), which may block. In the other
// direction the loop only hands work to queues that always have room: a client connection has at most one response pending, a host
// connection has one delivery, and a counter connection appends calls to a list of at most 64. The functions posted for requests,
// deliveries and calls are created once per connection or call, not once per use.
//
// # Locks
//
// Data of the event loop has no lock. clientConn.mu, hostConn.mu, counterConn.mu and StoreStream.mu guard the state that the
// goroutines of one connection share. ClientListener.mu guards the set of connections. A clientConn.mu may be locked while it is
// held, but not the reverse. DiscoveryClient.mu is held while a host list is posted, so that lists reach the event loop in order.
// Bytes are read from client, host and counter connections under the connection's lock, and the state is updated before the lock is
// released (readOnce). The state therefore accounts for all bytes that have left the kernel's receive buffer.
//
// # Request lifecycle
//
//  1. clientConn.readLoop reads the request into a buffer, and clientConn.serve takes it. A malformed request is answered at once.
//     Any other is posted to EventLoop.accept. The next request on the connection waits until the response is written.
//  2. EventLoop.accept rejects a request reference that is in use, waits for a marker if the quota store holds markers
//     (StoreStream.awaitMarker), and admits the invocation to the policy.
//  3. The policy may call the counter (EventLoop.AddCount) and receives the total (CounterClient.report).
//  4. The policy decides (EventLoop.decide, execute): throttle, fail, or send to a host. HostPool.send assigns the delivery to a
//     connection or queues it. HostPool.dispatch rechecks the conditions of the delivery before it passes the request to the writer.
//  5. hostConn.readLoop reads the complete response. hostConn.deliveryEnded reports it to the policy (EventLoop.deliveryEnded),
//     which decides on a retry unless the delivery succeeded.
//  6. EventLoop.finish passes the only final response to the client connection, which writes it and returns the buffers to the pool.
//
// # Times and errors
//
// Clock times are seconds since 1970 as float64: the wall clock at start plus the monotonic time since then (EventLoop.clock). An
// error on a connection closes that connection only. Invalid input from remote ends is logged at a limited rate. Constructors
// return the net package's errors for addresses and listening unchanged.
//
// docs/gateway.md describes the invariants of each part and the reasons for them, docs/crossings.md the possible interleavings.
package server
