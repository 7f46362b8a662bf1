// Package sse splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events, each with its bytes as they
// came.
package sse
