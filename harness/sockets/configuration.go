package sockets

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"

	"otterseam/sim/simulation"
)

// Ports that FreeAddress draws from: below those that systems give to outgoing connections.
const (
	firstFreePort = 10000
	freePorts     = 20000
	freeAttempts  = 50
)

// gatewaySockets is how many sockets an api gateway may use.
const gatewaySockets = 1024

// writeConfigs writes the configuration of each api gateway into a folder. It returns their paths and where the api gateways listen: at
// listens, and where there are fewer, at free addresses.
func (s *StandIns) writeConfigs(dir string, gateways int, memoryMB float64, listens []string) (paths, addresses []string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, err
	}
	listens, peerListens, err := s.chooseAddresses(gateways, listens)
	if err != nil {
		return nil, nil, err
	}
	peers := peerListens
	if len(peerListens) > 0 {
		if peers, err = s.interceptor.PeerAddresses(peerListens); err != nil {
			return nil, nil, err
		}
	}
	for gateway := range gateways {
		config := s.config(gateway, gateways, memoryMB, listens[gateway])
		if len(peers) > 0 {
			config["peers"] = peers
			config["peer_listen"] = peerListens[gateway]
		}
		text, err := json.MarshalIndent(config, "", "  ")
		if err != nil {
			return nil, nil, err
		}
		path := filepath.Join(dir, gatewayName(gateway)+".json")
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return nil, nil, err
		}
		paths = append(paths, path)
	}
	return paths, listens[:gateways], nil
}

// chooseAddresses adds free addresses to listens, and gives those for datagrams between api gateways if the scenario allows them.
func (s *StandIns) chooseAddresses(gateways int, listens []string) (all, peerListens []string, err error) {
	all = listens
	for gateway := range gateways {
		if gateway >= len(all) {
			address, err := FreeAddress()
			if err != nil {
				return nil, nil, err
			}
			all = append(all, address)
		}
		if s.Day.Peers.Allowed {
			address, err := FreeAddress()
			if err != nil {
				return nil, nil, err
			}
			peerListens = append(peerListens, address)
		}
	}
	return all, peerListens, nil
}

// config is the configuration of an api gateway, without its peers.
func (s *StandIns) config(gateway, gateways int, memoryMB float64, listen string) map[string]any {
	hosts, _ := s.discoveryEntries(gateway, s.HostList(gateway)) // their listeners are open, so that there is no error
	settings := simulation.StartSettings(s.Day, gateway)
	settings.Gateways = gateways
	return map[string]any{
		"name":      gatewayName(gateway),
		"listen":    listen,
		"discovery": s.discoveryAddresses[gateway],
		"counter":   s.counterAddresses[gateway],
		"seed":      fmt.Sprintf("%x", s.Seed+uint64(gateway)),
		"limits":    map[string]any{"cores": s.Day.Gateway.CoreShare.Float(), "memory_mb": memoryMB, "sockets": gatewaySockets},
		"known":     map[string]any{"version": 1, "full": true, "servers": hosts},
		"settings":  settings,
	}
}

// FreeAddress finds an address on loopback that nobody holds at the moment, for streams and datagrams. Its port lies below those that
// systems give to outgoing connections: one of these could be gone before an api gateway listens.
func FreeAddress() (string, error) {
	var err error
	for range freeAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstFreePort+rand.IntN(freePorts))
		if err = tryAddress(address); err == nil {
			return address, nil
		}
	}
	return "", err
}

// tryAddress listens at an address for a moment.
func tryAddress(address string) error {
	streams, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	defer streams.Close()
	datagrams, err := net.ListenPacket("udp", address)
	if err != nil {
		return err
	}
	return datagrams.Close()
}
