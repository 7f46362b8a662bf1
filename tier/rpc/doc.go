// Package rpc carries calls, answers and one-way messages between processes of the serving tier, multiplexed on one TCP connection. It
// does not interpret the messages: each package that uses it defines its own kinds.
//
// # Frame format
//
// A frame is a big-endian header of 16 bytes, followed by the payload. The header contains the length of the payload (4 bytes), the kind
// (2), the code of an answer (2) and the ID of a call (8). Kind 0 is an answer. ID 0 marks a one-way message. A payload longer than
// MaxFrame ends the connection.
//
// # The path of one call
//
// Client.Call opens the connection if there is none, or waits for the dial in progress. Conn.Call assigns an ID to the call, queues its
// frame for writeLoop and waits. The peer's readLoop reads the frame and calls the Handler, which answers with Message.Answer, either
// immediately or later from another goroutine. The caller's readLoop finds the pending call by its ID and delivers the answer.
//
// # Goroutines
//
// A connection has two goroutines, readLoop and writeLoop, which end with it. Conn.Wait waits for them. Each attempt of a dial has a
// goroutine, and so has the dial of a Client. These end with the dial, within dialTimeout. Serve runs on its caller's goroutine. The
// connections that it accepted stay open after it returns.
//
// # Invariants
//
//   - An answer is delivered only to the call that it belongs to, on the connection of that call, and is dropped otherwise.
//   - A sender never blocks on a peer that does not read: the queue is bounded, and the connection ends when the queue is full.
//   - A call whose context ends before it is sent is not sent.
//
// # Out of scope
//
// The package never repeats a call, as only the caller knows whether that is safe. Errors are codes: codes.LinkBroken if the connection
// ended, codes.Timeout if the context ended, and otherwise the code of the answer.
package rpc
