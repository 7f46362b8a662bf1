// Package tierhost is a stand-in for the hosts behind the serving tier: it sends heartbeats to control, streams events as an engine does
// or answers as a plain service, and records what it executed. Tests inject its faults.
package tierhost
