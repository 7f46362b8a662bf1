// Package http1 parses and writes the HTTP/1.1 messages (RFC 9112) that a gateway exchanges with clients, hosts, the quota
// counter and discovery. The callers provide the buffers.
//
//   - message.go: the incremental parser [Message]
//   - head.go: the start line, the header fields, and the body length that they define
//   - chunked.go: the chunked transfer coding
//   - syntax.go: character classes and numbers
//   - invocation.go: the header fields of a client's request as an [Invocation], and the header field of declined attempts
//   - write.go: the messages that a gateway sends
//
// The package opens no sockets and does not use a buffer after its caller has reclaimed it. A request with an ambiguous body
// length is rejected as malformed, because the next recipient might interpret it differently (request smuggling).
package http1
