package settings

import (
	"net"
	"strconv"
)

// Offsets of the ports of the roles within the internal port range. They are the same on all machines.
const (
	controlOffset = iota
	storeOffset
	agentOffset
)

// loopback is the address on which the agent serves the proxy of its machine.
const loopback = "127.0.0.1"

// ControlPort returns the port on which control processes serve the other processes of the tier.
func (s *Settings) ControlPort() int { return s.FirstPort + controlOffset }

// ControlAddress returns this machine's address with that port.
func (s *Settings) ControlAddress() string { return joinHostPort(s.IP, s.ControlPort()) }

// StoreAddress returns the address of this machine's store process.
func (s *Settings) StoreAddress() string { return joinHostPort(s.IP, s.FirstPort+storeOffset) }

// AgentAddress returns the loopback address on which the agent serves the proxy of its machine. If the machine's own address is a
// loopback address, as in a tier that runs on one computer, it is used instead, so that the agents of several machines do not bind
// the same address.
func (s *Settings) AgentAddress() string {
	if ip := net.ParseIP(s.IP); ip != nil && ip.IsLoopback() {
		return joinHostPort(s.IP, s.FirstPort+agentOffset)
	}
	return joinHostPort(loopback, s.FirstPort+agentOffset)
}

// SeedAddresses returns the internal addresses of the control processes on the seed machines. The ports in the seeds setting are
// those for operators. The internal ports are the same on all machines.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed // without a port
		}
		addresses = append(addresses, joinHostPort(host, s.ControlPort()))
	}
	return addresses
}

func joinHostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
