package sockets

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"

	"otterseam/sim/simulation"
)

// Range of ports for FreeAddress. It lies below the ephemeral ports that systems assign to outgoing connections.
const (
	firstFreePort = 10000
	freePorts     = 20000
	freeAttempts  = 50
)

// gatewaySockets is the maximum number of sockets of an api gateway.
const gatewaySockets = 1024

// writeConfigs writes the configuration file of each api gateway into dir. It returns the paths of the files and the listen addresses, which
// are those in listens, followed by free addresses if listens has too few.
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

// chooseAddresses appends free addresses to listens until each api gateway has one. If the scenario allows datagrams between api gateways, it
// also returns a free address for the datagrams of each.
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

// config returns the configuration of an api gateway without its peers.
func (s *StandIns) config(gateway, gateways int, memoryMB float64, listen string) map[string]any {
	hosts, _ := s.discoveryEntries(gateway, s.HostList(gateway)) // the listeners of these hosts are open already, so there is no error
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

// errPortTaken is the error for a port that FreeAddress has returned before.
var errPortTaken = errors.New("port was returned before")

// returnedPorts are the ports that FreeAddress has returned in this process. Their users may not listen on them yet.
var returnedPorts struct {
	mu    sync.Mutex
	taken map[int]bool
}

// FreeAddress returns an address on loopback that is currently free for both TCP and UDP, another one at each call. Its port lies below the
// ephemeral ports, since an outgoing connection could take one of those before an api gateway listens on it.
func FreeAddress() (string, error) {
	returnedPorts.mu.Lock()
	defer returnedPorts.mu.Unlock()
	err := errPortTaken
	for range freeAttempts {
		port := firstFreePort + rand.IntN(freePorts)
		if returnedPorts.taken[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if err = checkAddressFree(address); err == nil {
			if returnedPorts.taken == nil {
				returnedPorts.taken = map[int]bool{}
			}
			returnedPorts.taken[port] = true
			return address, nil
		}
	}
	return "", err
}

// checkAddressFree returns an error unless address can be bound for both TCP and UDP. It closes both sockets again.
func checkAddressFree(address string) error {
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
