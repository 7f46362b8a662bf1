// Package hostmodel models one host: its cores, job queue, connections and cold start, and the overload under which a cold host goes
// down. It must not depend on the rules of the oracle or on how answers are delivered.
package hostmodel
