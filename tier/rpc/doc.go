// Package rpc carries calls, answers and one-way messages between processes of the serving tier, many at once on one TCP
// connection. It knows nothing of what the messages mean: each package that speaks over it numbers its own kinds.
//
// # The format
//
// A frame is a header of 16 bytes, big-endian: length of the payload (4), kind (2), code of an answer (2), ID of a call (8); then
// the payload. Kind 0 is an answer. ID 0 marks a one-way message. A payload longer than MaxFrame ends the connection.
//
// # The life of one call
//
// Client.Call opens the connection if there is none, or waits for the dial that is under way. Conn.Call numbers the call, queues its
// frame for writeLoop and waits. At the other end readLoop reads the frame and calls the Handler, which answers with
// Message.Answer, now or later from another goroutine. readLoop of the caller finds the waiting call by its ID and hands over the
// answer.
//
// # Goroutines
//
// A connection has two, readLoop and writeLoop, which end with it; Conn.Wait waits for them. A dial has some, which end with it
// within dialTimeout. Serve runs on its caller's goroutine; connections that it accepted live on after it.
//
// # Invariants
//
//   - An answer reaches the call it belongs to, on the connection of the call, or nobody.
//   - Nobody who sends waits for a peer that does not read: the queue is bounded, and beyond the bound the connection ends.
//   - A call whose caller has gone before it was sent is not sent.
//
// # What it must not do
//
// It makes no call again: whether a call may be repeated is known to the caller alone. Errors are codes: codes.LinkBroken where the
// connection ended, codes.Timeout where the context did, and otherwise the code of the answer.
package rpc
