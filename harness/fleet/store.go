package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"otterseam/harness/childprocess"
	"otterseam/harness/sockets"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/server"
	"otterseam/sim/scenario"
)

const (
	bootstrapTimeout = 30 * time.Second
	statusTimeout    = time.Second
	statusInterval   = 50 * time.Millisecond
	storeZones       = 3
	snapshotRate     = 4e6 // bytes per second
	maxLogEntries    = 4096
)

// store is the quota store of one script: the processes of its members, which scripts call keepers, and the links between them.
type store struct {
	injector *injector
	options  Options
	settings *scenario.QuotaStore
	seed     uint64
	config   *server.ClusterConfig // with the members' own addresses
	configs  []string              // paths of the members' configurations, with the addresses of the links
	observer *observer

	mu        sync.Mutex // guards all below
	processes []*childprocess.Process
	started   []*childprocess.Process // all processes ever started
	stopping  bool
}

// memberName returns the name of a member in configurations and files.
func memberName(member int) string { return fmt.Sprintf("keeper-%d", member) }

// memberEnd returns the name of a member as the end of a link.
func memberEnd(member int) string { return fmt.Sprintf("keeper %d", member) }

// startStore starts the members and bootstraps them. Also on an error, it returns a store that must be stopped.
func startStore(ctx context.Context, f *injector, o Options, settings *scenario.QuotaStore, seed uint64) (*store, error) {
	s := &store{injector: f, options: o, settings: settings, seed: seed, observer: newObserver()}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return s, err
	}
	if err := s.buildConfig(); err != nil {
		return s, err
	}
	s.processes = make([]*childprocess.Process, len(s.config.Members))
	for member := range s.config.Members {
		if err := s.writeConfig(member); err != nil {
			return s, err
		}
		if err := s.removeOldFiles(member); err != nil {
			return s, err
		}
		if err := s.start(member); err != nil {
			return s, err
		}
	}
	if _, err := server.Bootstrap(s.config, nil, bootstrapTimeout); err != nil {
		return s, err
	}
	return s, s.waitLeaders(ctx, bootstrapTimeout)
}

// buildConfig creates the configuration of the cluster, with free addresses.
func (s *store) buildConfig() error {
	members := s.settings.Count.Int()
	s.config = &server.ClusterConfig{
		Groups:        s.settings.Groups.Int(),
		Replicas:      min(s.settings.Replicas.Int(), members),
		ReplaceAfter:  s.settings.Lost.Float(),
		SnapshotRate:  snapshotRate,
		MaxLogEntries: maxLogEntries,
	}
	for number := range members {
		member := server.MemberConfig{Name: memberName(number), Zone: fmt.Sprint(number % storeZones)}
		for _, address := range []*string{&member.PeerAddress, &member.CounterAddress} {
			free, err := sockets.FreeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		s.config.Members = append(s.config.Members, member)
	}
	return nil
}

// writeConfig writes the configuration of a member, which has the address of a link for each other member.
func (s *store) writeConfig(member int) error {
	own := *s.config
	own.Members = slices.Clone(s.config.Members)
	for other := range own.Members {
		if other == member || s.options.directPeers {
			continue
		}
		address, err := s.injector.link(memberEnd(member), memberEnd(other)).Listen(func() (net.Conn, error) {
			return net.Dial("tcp", s.config.Members[other].PeerAddress)
		})
		if err != nil {
			return err
		}
		own.Members[other].PeerAddress = address
	}
	text, err := json.Marshal(&own)
	if err != nil {
		return err
	}
	path := filepath.Join(s.options.Dir, memberName(member)+".json")
	s.configs = append(s.configs, path)
	return os.WriteFile(path, text, 0o644)
}

// removeOldFiles removes the log and the folder of a member from an earlier run in the same folder.
func (s *store) removeOldFiles(member int) error {
	path := filepath.Join(s.options.Dir, memberName(member))
	if err := os.RemoveAll(path + ".log"); err != nil {
		return err
	}
	return os.RemoveAll(path)
}

// start starts a member's process.
func (s *store) start(number int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startLocked(number)
}

func (s *store) startLocked(number int) error {
	member := s.config.Members[number]
	command := []string{
		s.options.QuotaStore, "run", "--list", s.configs[number], "--name", member.Name,
		"--peer", member.PeerAddress, "--door", member.CounterAddress,
	}
	if s.settings.Disk {
		command = append(command, "--dir", "held")
	}
	process, err := childprocess.StartCommand(command, member.Name, s.options.Dir, s.options.Env...)
	if err != nil {
		return err
	}
	s.processes[number] = process
	s.started = append(s.started, process)
	return nil
}

// hasMember reports whether there is a member with a number.
func (s *store) hasMember(member int) bool { return s != nil && member < len(s.config.Members) }

// process returns the running process of a member, or nil if none runs.
func (s *store) process(member int) *childprocess.Process {
	s.mu.Lock()
	process := s.processes[member]
	s.mu.Unlock()
	if exited, _, _ := process.ExitState(); exited {
		return nil
	}
	return process
}

// restartAfter starts a member delay seconds after its process has exited.
func (s *store) restartAfter(member int, delay float64) {
	s.mu.Lock()
	old := s.processes[member]
	s.mu.Unlock()
	go func() {
		<-old.Done()
		time.Sleep(time.Duration(delay * 1e9))
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stopping {
			return
		}
		if err := s.startLocked(member); err != nil {
			s.options.Report(fmt.Sprintf("keeper %d did not restart: %v", member, err))
		}
	}()
}

// stop stops all processes that were ever started.
func (s *store) stop() {
	s.mu.Lock()
	s.stopping = true
	started := slices.Clone(s.started)
	s.mu.Unlock()
	for _, process := range started {
		process.Terminate()
	}
	for _, process := range started {
		if err := process.Stop(); err != nil {
			s.options.Report(err.Error())
		}
	}
}

// statuses requests the status of all members. It is nil for a member that doesn't answer.
func (s *store) statuses() []*protocol.Admin {
	var all []*protocol.Admin
	for _, member := range s.config.Members {
		status, err := server.SendCommand(member.PeerAddress, &protocol.Admin{Operation: protocol.OperationStatus}, statusTimeout)
		if err != nil {
			status = nil
		}
		all = append(all, status)
	}
	return all
}

// ledGroups returns the groups that a member leads according to its status; none if status is nil.
func ledGroups(status *protocol.Admin) []protocol.GroupHealth {
	if status == nil {
		return nil
	}
	var led []protocol.GroupHealth
	for _, group := range status.Health {
		if group.IsLeader {
			led = append(led, group)
		}
	}
	return led
}

// memberLeadingMost returns the member that leads the most groups, and these groups.
func (s *store) memberLeadingMost() (leader int, led []protocol.GroupHealth) {
	for member, status := range s.statuses() {
		if own := ledGroups(status); len(own) > len(led) {
			leader = member
			led = own
		}
	}
	return leader, led
}

// NoLeaderError means that some groups of the quota store have no leader within a timeout.
type NoLeaderError struct {
	Timeout time.Duration
	Members []string // state of each
}

// Error includes the state of each member.
func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("not all groups of the keepers have a leader after %v (%s)", e.Timeout, strings.Join(e.Members, "; "))
}

// waitLeaders waits until all groups have a leader. It returns a *NoLeaderError if they don't within the timeout.
func (s *store) waitLeaders(ctx context.Context, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(statusInterval) {
		led := map[int]bool{}
		for _, status := range s.statuses() {
			for _, group := range ledGroups(status) {
				led[group.Group] = true
			}
		}
		if len(led) == s.config.Groups {
			return nil
		}
	}
	failure := &NoLeaderError{Timeout: timeout}
	for member, status := range s.statuses() {
		text := fmt.Sprintf("%d: no answer", member)
		if status != nil {
			text = fmt.Sprintf("%d: in cluster %x, leads %d of its %d groups", member, status.Cluster, len(ledGroups(status)), len(status.Health))
		}
		failure.Members = append(failure.Members, text)
	}
	return failure
}
