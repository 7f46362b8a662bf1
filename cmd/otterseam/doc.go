// Command otterseam is the API gateway on sockets: it reads its configuration, makes the parts of gateway/server and runs them
// until SIGTERM.
//
// config.go reads the file that EDGE_CONFIG names, gateway.go makes and owns the parts, main.go owns the process: its signals, its
// log, its limits and the group in which all goroutines live. The program neither knows the protocol nor decides anything.
//
// SIGTERM and SIGINT end the gateway once all that it has taken is answered; the exit code is 0. SIGHUP has it read the
// configuration again and take up the addresses of discovery and of the counter. It exits with code 1 if it can't start, and with
// code 2, by a panic, if the policy fails.
package main
