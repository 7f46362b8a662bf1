package sockets

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
)

// keepAliveInterval is the time between empty lines of a watch, in seconds.
const keepAliveInterval = 2

// notFound answers what no stand-in knows.
const notFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

// discoveryEntry is a host as discovery tells it.
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

// discoveryStates are discovery's words for the states of hosts.
var discoveryStates = map[string]string{"active": "Ready", "leaving": "Terminating", "left": "Gone"}

// discoveryEntries are hosts as discovery tells them to an api gateway. On an error they are those before it.
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
			started = int64((s.beginsAt + entry.StartedAt) * 1000)
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

// HostChanged brings a change of the list of hosts to an api gateway's watches.
func (s *StandIns) HostChanged(gateway int, host policy.HostEntry) {
	s.versions[gateway]++
	s.interceptor.EventSeen("told", gateway)
	changed := []policy.HostEntry{host}
	line := s.discoveryLine(gateway, false, changed)
	for watch := range s.watches[gateway] {
		watch.writeThen(chunk(line), func() { s.loop.Do(func() { s.hostsTold(gateway, changed, false) }) })
	}
}

// hostsTold has the oracle know what has got through of the list of hosts; a host that a full list lacks has left.
func (s *StandIns) hostsTold(gateway int, hosts []policy.HostEntry, full bool) {
	told := s.told[gateway]
	listed := map[string]bool{}
	for _, entry := range hosts {
		listed[entry.Addr] = true
		if before, known := told[entry.Addr]; !known || before != entry {
			told[entry.Addr] = entry
			s.Oracle.HostStateTold(gateway, s.Host(entry.Addr).Number, entry.State, entry.StartedAt)
		}
	}
	if !full {
		return
	}
	for address, entry := range told { // each by itself: the order does not show
		if !listed[address] && entry.State != "left" {
			entry.State = "left"
			told[address] = entry
			s.Oracle.HostStateTold(gateway, s.Host(address).Number, entry.State, entry.StartedAt)
		}
	}
}

// discoveryLine is one line of discovery's answer.
func (s *StandIns) discoveryLine(gateway int, full bool, hosts []policy.HostEntry) string {
	entries, _ := s.discoveryEntries(gateway, hosts) // a host without a listener can't be told of
	line, _ := json.Marshal(map[string]any{          // numbers and texts only: there is no error
		"version": s.versions[gateway],
		"full":    full,
		"servers": entries,
	})
	return string(line) + "\n"
}

// chunk is a chunk of the chunked transfer coding.
func chunk(text string) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text) }

// serveDiscovery answers an api gateway's requests for the list of hosts, and its watches.
func (s *StandIns) serveDiscovery(gateway int, tcp net.Conn) {
	c := s.takeOver(tcp)
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
	c.writeThen(chunk(line), func() { s.loop.Do(func() { s.hostsTold(gateway, hosts, true) }) })
	s.watches[gateway][c] = true
	s.keepAlive(gateway, c)
}

// keepAlive writes an empty line every 2 s for as long as the watch lasts.
func (s *StandIns) keepAlive(gateway int, c *conn) {
	s.Queue.ScheduleAfter(keepAliveInterval, func() {
		if s.watches[gateway][c] {
			c.write(chunk("\n"))
			s.keepAlive(gateway, c)
		}
	})
}
