// Package hostmodel models one host: cores, a queue of work, connections, a cold start, and the overload under which a cold host
// goes down. It must never know what a rule says or how an answer travels.
package hostmodel
