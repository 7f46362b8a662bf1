// Package losscauses attributes the programs that a played day lost to causes, from the report of the play: by the seconds in which
// they began and by the disruptions then. A report does not name every program, so that a cause here is the disruption that a lost
// program ran into
// at the latest, not what became of each of its calls. The counts add up to those of the report; what falls to no disruption is
// unexplained.
package losscauses
