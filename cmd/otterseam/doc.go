// Command otterseam is the API gateway. It reads its configuration, creates the components of gateway/server and runs them until
// SIGTERM.
//
// config.go reads the file that EDGE_CONFIG names. gateway.go creates and owns the components. main.go owns the process: its
// signals, its log, its resource limits, and the errgroup that runs all goroutines. The command implements neither the protocol
// nor any policy.
//
// SIGTERM and SIGINT end the gateway with exit code 0, once all accepted requests have been answered. SIGHUP makes it reload the
// configuration and apply the addresses of discovery and the counter. It exits with code 1 if it can't start, and panics, which
// is exit code 2, if the policy fails.
package main
