package simulation

import (
	"fmt"

	"otterseam/gateway/policy"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// hostsPerCell is the number of consecutive hosts that form a cell.
const hostsPerCell = 4

// ZoneName returns the name of a zone.
func ZoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// initialHosts creates the hosts with which the scenario starts and returns their list.
func (s *Simulation) initialHosts() []policy.HostEntry {
	var list []policy.HostEntry
	for range s.Day.Fleet.Hosts.Int() {
		list = append(list, hostEntry(s.addHost(0), model.HostActive))
	}
	return list
}

// addHost adds a host that started at a clock time. 0 means long ago, so that the host is warm.
func (s *Simulation) addHost(startedAt float64) *hostmodel.Host {
	number := len(s.Hosts)
	host := hostmodel.New(s.Queue, number, hostAddr(number), s.drawHostKind(number), &s.Day.Cold, s.Seed)
	host.Zone = number % s.Day.Fleet.Zones.Int()
	host.Cell = number / hostsPerCell
	host.StartedAt = startedAt
	host.OnOverload = func(arrivals []hostmodel.Arrival) {
		s.Oracle.HostOverloaded(host, arrivals)
		s.publish(host, model.HostLeft)
	}
	s.Hosts = append(s.Hosts, host)
	s.hostByAddr[host.Addr] = host
	return host
}

func hostAddr(number int) string {
	return fmt.Sprintf("10.%d.%d.%d:9000", number>>16&255, number>>8&255, number&255)
}

// drawHostKind draws the kind of a host with the probabilities that the kinds' shares give.
func (s *Simulation) drawHostKind(number int) *scenario.HostKind {
	kinds := s.Day.Hosts
	total := 0.0
	for i := range kinds {
		total += kinds[i].Share.Float()
	}
	left := randstream.New(s.Seed, "kind", number).Float64() * total
	for i := range kinds {
		left -= kinds[i].Share.Float()
		if left < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

// publish sends the state of a host to the api gateways through the discovery model.
func (s *Simulation) publish(host *hostmodel.Host, state string) {
	s.registry.Publish(hostEntry(host, state))
}

func hostEntry(host *hostmodel.Host, state string) policy.HostEntry {
	return policy.HostEntry{
		Addr:      host.Addr,
		Zone:      ZoneName(host.Zone),
		Cell:      host.Cell,
		State:     state,
		StartedAt: host.StartedAt,
		Weight:    1,
	}
}
