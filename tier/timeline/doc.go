// Package timeline notes when a process reaches each step of its recovery, counted from its start, once in its incarnation. It logs
// each step and keeps it as a figure that operators can ask for, so that after an outage it can be told where the time went.
//
// # Invariants
//
//   - A step counts the first time it is reached only, and is logged once.
//   - Numbers of steps, on the wire, and their names, in logs and on the pages, are never used again for another step; a reader
//     leaves out the steps that it doesn't know.
//
// # Limits
//
// A timeline measures and decides nothing. Times are durations of the process's own clock, on the wire in milliseconds.
package timeline
