// Package http1 parses and writes HTTP/1.1 messages (RFC 9112) of a gateway's clients, hosts, quota counter and discovery, in
// buffers that its callers lend.
//
//   - message.go: a [Message] is given bytes as they come and says when it is complete
//   - head.go: the request or status line and the fields, and what they say of the body
//   - chunked.go: the chunked transfer coding
//   - syntax.go: characters and numbers
//   - invocation.go: the fields that make a client's request an [Invocation], and what a host's response proves
//   - write.go: the messages that a gateway sends
//
// The package opens no socket and keeps no buffer that its caller has taken back. A request whose length can be understood in
// two ways is malformed: the next reader might take the other one.
package http1
