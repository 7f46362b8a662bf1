// Package timeline records the time from the start of a process to each step of its recovery. It logs each step and returns the
// times to operators on request, so that they can see after an outage which step took how long.
//
// # Invariants
//
//   - A step is recorded and logged only the first time that a process reaches it.
//   - The numbers of steps on the wire and their names in logs and documentation are never reused for another step. Decode skips
//     the steps that it doesn't know.
//
// # Limits
//
// A timeline only measures; nothing depends on it. Times are durations on the process's own clock. On the wire they are in
// milliseconds.
package timeline
