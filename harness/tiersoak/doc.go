// Package tiersoak runs a serving tier as real processes under load while faults come in series and overlap, and checks what clients were
// promised: a retained turn that was answered completely is found for its retention period with the texts of its whole chain, a host
// executes a turn once and with the right prompt, and no turn is rejected that has budget left.
//
// With crowds, clients of package misbehavior come and go besides; with floods, hosts send heads, bodies and events without end. Then no
// process may end by itself or leave its limits.
//
// Many turns run longer than the stores retain the turns that they continue. Clients keep using their connections until the process
// behind them is gone. The faults are drawn from a seed: processes are killed, terminated, suspended, alone and on top of each other,
// store and control machines lose their disks, hosts crash and join, and the configuration is replaced.
package tiersoak
