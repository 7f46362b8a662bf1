// Package losscauses attributes the programs that were late or lost in the run of a day to causes. It reads the report of the run and
// compares the time windows in which programs began with the times of the disruptions. A report does not list every program, so a
// cause is the disruption that the programs of a window encountered at the latest, not the outcome of their individual calls. The
// counts add up to those of the report. Programs without a matching disruption are attributed to overload or count as unexplained.
package losscauses
