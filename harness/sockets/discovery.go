package sockets

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
)

// keepAliveInterval is the interval between empty lines on a watch, in seconds.
const keepAliveInterval = 2

// notFound is the response to a request that a stand-in does not recognize.
const notFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

// discoveryEntry is a host in the format of the discovery service.
type discoveryEntry struct {
	ID        string  `json:"id"`
	Address   string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// discoveryStates maps the states of hosts to their names in the discovery service.
var discoveryStates = map[string]string{"active": "Ready", "leaving": "Terminating", "left": "Gone"}

// discoveryEntries converts hosts to the entries that discovery sends to an api gateway. On an error it returns the entries converted so far.
func (s *StandIns) discoveryEntries(gateway int, hosts []policy.HostEntry) ([]discoveryEntry, error) {
	all := []discoveryEntry{}
	for _, entry := range hosts {
		host := s.Host(entry.Addr)
		address, err := s.hostAddress(host, gateway)
		if err != nil {
			return all, err
		}
		started := int64(0)
		if entry.StartedAt > 0 {
			started = int64((s.startUnix + entry.StartedAt) * 1000)
		}
		all = append(all, discoveryEntry{
			ID:        fmt.Sprintf("host-%d", host.Number),
			Address:   address,
			Zone:      entry.Zone,
			Kind:      "stand-in",
			Cell:      entry.Cell,
			State:     discoveryStates[entry.State],
			Weight:    entry.Weight,
			StartedMS: started,
		})
	}
	return all, nil
}

// HostChanged sends a changed host to the watches of an api gateway.
func (s *StandIns) HostChanged(gateway int, host policy.HostEntry) {
	s.versions[gateway]++
	s.interceptor.EventSeen("told", gateway)
	changed := []policy.HostEntry{host}
	line := s.discoveryLine(gateway, false, changed)
	for watch := range s.watches[gateway] {
		watch.writeWithCallback(chunk(line), func() { s.loop.Do(func() { s.hostsDelivered(gateway, changed, false) }) })
	}
}

// hostsDelivered reports the host states that were delivered to an api gateway to the oracle. A host that is missing from a full list has left.
func (s *StandIns) hostsDelivered(gateway int, hosts []policy.HostEntry, full bool) {
	delivered := s.delivered[gateway]
	listed := map[string]bool{}
	for _, entry := range hosts {
		listed[entry.Addr] = true
		if before, known := delivered[entry.Addr]; !known || before != entry {
			delivered[entry.Addr] = entry
			s.Oracle.HostStateTold(gateway, s.Host(entry.Addr).Number, entry.State, entry.StartedAt)
		}
	}
	if !full {
		return
	}
	for address, entry := range delivered { // the order does not matter, since each host is handled independently
		if !listed[address] && entry.State != "left" {
			entry.State = "left"
			delivered[address] = entry
			s.Oracle.HostStateTold(gateway, s.Host(address).Number, entry.State, entry.StartedAt)
		}
	}
}

// discoveryLine returns one line of a discovery response.
func (s *StandIns) discoveryLine(gateway int, full bool, hosts []policy.HostEntry) string {
	entries, _ := s.discoveryEntries(gateway, hosts) // a host without a listener cannot be listed
	line, _ := json.Marshal(map[string]any{          // cannot fail: numbers, strings and booleans only
		"version": s.versions[gateway],
		"full":    full,
		"servers": entries,
	})
	return string(line) + "\n"
}

// chunk encodes text as one chunk of the chunked transfer coding.
func chunk(text string) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text) }

// serveDiscovery serves an api gateway's requests for the list of hosts, including watches, on one connection.
func (s *StandIns) serveDiscovery(gateway int, tcp net.Conn) {
	c := s.wrapConn(tcp)
	readRequests(tcp, func(m *http1.Message) {
		target := string(m.Target)
		if !strings.HasPrefix(target, "/catalog/members") {
			c.write([]byte(notFound))
			return
		}
		watch := strings.Contains(target, "watch=1")
		s.loop.Do(func() { s.answerDiscovery(gateway, c, watch) })
	})
	s.loop.Do(func() {
		delete(s.watches[gateway], c)
		c.end(false)
	})
}

func (s *StandIns) answerDiscovery(gateway int, c *conn, watch bool) {
	hosts := s.HostList(gateway)
	line := s.discoveryLine(gateway, true, hosts)
	if !watch {
		c.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line))
		return
	}
	c.write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	c.writeWithCallback(chunk(line), func() { s.loop.Do(func() { s.hostsDelivered(gateway, hosts, true) }) })
	s.watches[gateway][c] = true
	s.keepAlive(gateway, c)
}

// keepAlive writes an empty line to a watch every 2 s until the watch ends.
func (s *StandIns) keepAlive(gateway int, c *conn) {
	s.Queue.ScheduleAfter(keepAliveInterval, func() {
		if s.watches[gateway][c] {
			c.write(chunk("\n"))
			s.keepAlive(gateway, c)
		}
	})
}
