// Package agent implements the process that connects the proxy on its machine to control. It subscribes to the view that control
// distributes and publishes it to the proxy over loopback, so that a starting proxy receives a view at once and control serves one
// subscriber per machine.
//
// # Data flow
//
// The agent receives a change from a publisher of control, applies it to its own view (feed.Subscriber) and publishes it to the proxy
// (feed.Publisher). Observations of hosts take the opposite direction: the proxy sends a report with
// controlclient.KindHostObservations, the agent holds it in a bounded queue and sends it in one call to the primary of control.
//
// # Invariants
//
//   - The agent publishes its current view even while it cannot reach control, because an old view is better for the proxy than none.
//   - It sends each report of observations at most once, and drops reports that arrive while the queue is full.
//
// # Constraints
//
// The agent makes no decisions and stores nothing on disk. While it is down, the proxy continues with its last view and receives no
// changes.
package agent
