// Package status reads the state of a running tier from its control processes, for operators (otterctl status) and tests.
//
// # Steps of Read
//
// Read subscribes to a publisher of control until it has received the first update, requests the newest group record from all control
// processes (controlclient.KindLocate), computes how many losses each group tolerates, and requests the timelines of the control
// processes and the stores (timeline.KindTimeline).
//
// # Invariants
//
//   - Operators read the JSON format, its keys and the texts of Protection.LimitedBy. Tests compare them with recorded output.
//   - A process that does not answer is omitted from Status.Recovery. Only a missing view is an error, codes.Unavailable.
//
// # Constraints
//
// The package only reads, and sends no request that an ordinary subscriber may not send.
package status
