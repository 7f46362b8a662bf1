// Package tierhost implements a stand-in for the hosts behind the serving tier. A stand-in host sends heartbeats to control, responds with
// an event stream like an engine or with a plain body, and records the requests that it executed. Tests inject faults into it.
package tierhost
