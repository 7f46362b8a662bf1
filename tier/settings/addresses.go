package settings

import (
	"net"
	"strconv"
)

// Offsets of the ports of the roles within the internal port range; they are alike on all machines.
const (
	controlOffset = iota
	storeOffset
	agentOffset
)

// loopback is where the agent serves the proxy of its machine.
const loopback = "127.0.0.1"

// ControlPort is the port on which control processes speak with others of the tier.
func (s *Settings) ControlPort() int { return s.FirstPort + controlOffset }

// ControlAddress is this machine's address for that port.
func (s *Settings) ControlAddress() string { return joinHostPort(s.IP, s.ControlPort()) }

// StoreAddress is this machine's address for the store process.
func (s *Settings) StoreAddress() string { return joinHostPort(s.IP, s.FirstPort+storeOffset) }

// AgentAddress is the loopback address on which the agent feeds the proxy of its machine. A machine whose own address is a loopback
// one, as those of a tier that is tried on one computer, uses that, so that its agent and those of the others don't meet.
func (s *Settings) AgentAddress() string {
	if ip := net.ParseIP(s.IP); ip != nil && ip.IsLoopback() {
		return joinHostPort(s.IP, s.FirstPort+agentOffset)
	}
	return joinHostPort(loopback, s.FirstPort+agentOffset)
}

// SeedAddresses are the internal addresses of the control processes on the seed machines. The ports that the seeds name are those
// for operators; the internal ones are alike on all machines.
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
