// Package status reads the state of a running tier from its control processes, for operators (otterctl status) and tests.
//
// # The life of one reading
//
// Read subscribes to a publisher of control until the first update has come, asks all control processes for the newest record of
// their group (controlclient.KindLocate), works out how many losses each group tolerates, and asks control and the stores for their
// timelines (timeline.KindTimeline).
//
// # Invariants
//
//   - The JSON form, its keys and the texts of Protection.LimitedBy are read by operators; they are held to a recording.
//   - A process that does not answer is left out of the recovery; only a missing view is an error, codes.Unavailable.
//
// # What it must not do
//
// It changes nothing, and asks no more than any other subscriber may.
package status
