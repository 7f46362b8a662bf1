// Package sse splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events, and keeps the original bytes of
// each event.
package sse
