package tiercluster

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"otterseam/harness/childprocess"
)

// ErrNoMachine is returned for the name of a machine that the cluster doesn't have.
var ErrNoMachine = errors.New("no such machine")

// Machine is one machine of a cluster with its processes.
type Machine struct {
	Name string
	IP   string

	roles []string

	mu        sync.Mutex                       // guards processes
	processes map[string]*childprocess.Process // by role
}

// Process returns the machine's process with a role, or nil if none was started.
func (m *Machine) Process(role string) *childprocess.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processes[role]
}

// all returns the machine's processes.
func (m *Machine) all() []*childprocess.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.processes))
}

func machineName(class string, number int) string { return fmt.Sprintf("%s-%d", class, number) }

// Kill sends SIGKILL to the machine's processes and waits until they have exited.
func (m *Machine) Kill() {
	for _, process := range m.all() {
		process.Kill()
		<-process.Done()
	}
}

// Terminate sends SIGTERM to the machine's processes and doesn't wait for their exit.
func (m *Machine) Terminate() {
	for _, process := range m.all() {
		process.Terminate()
	}
}

// Suspend pauses the machine's processes with SIGSTOP until Resume is called.
func (m *Machine) Suspend() {
	for _, process := range m.all() {
		process.Suspend()
	}
}

// Resume continues the machine's processes.
func (m *Machine) Resume() {
	for _, process := range m.all() {
		process.Resume()
	}
}

// ShutDown sends SIGTERM to the machine's processes and waits without a time limit until they have exited.
func (m *Machine) ShutDown() {
	m.Terminate()
	for _, process := range m.all() {
		<-process.Done()
	}
}

// AddMachine adds a machine of the same class as the machine named like, and starts it without bootstrap because the tier exists
// already. It returns ErrNoMachine if there is no machine of that name.
func (c *Cluster) AddMachine(like string) (*Machine, error) {
	model := c.Machine(like)
	if model == nil {
		return nil, fmt.Errorf("%w: %s", ErrNoMachine, like)
	}
	class, _, _ := strings.Cut(like, "-")
	machine := c.addMachine(class, len(c.Machines)+1, model.roles)
	c.hasStarted[machine.Name] = true
	return machine, c.StartMachine(machine)
}

// StartMachine starts the processes of a machine that is down.
func (c *Cluster) StartMachine(m *Machine) error {
	for _, role := range m.roles {
		if err := c.startProcess(m, role); err != nil {
			return err
		}
	}
	c.hasStarted[m.Name] = true
	return nil
}

func (c *Cluster) startProcess(m *Machine, role string) error {
	data := c.DataDir(m, role)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	name := processName(m, role)
	settingsFile := filepath.Join(c.options.Dir, name+".conf")
	if err := os.WriteFile(settingsFile, []byte(c.settings(m, role, data)), 0o644); err != nil {
		return err
	}
	process, err := childprocess.StartCommand([]string{c.options.Program, role}, name, c.options.Dir, "OTTERSEAM_NODE_FILE="+settingsFile)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.processes[role] = process
	m.mu.Unlock()
	return nil
}

func processName(m *Machine, role string) string { return m.Name + "-" + role }

// DataDir returns the data directory of the machine's process with a role.
func (c *Cluster) DataDir(m *Machine, role string) string {
	return filepath.Join(c.options.Dir, "data", processName(m, role))
}

// settings returns the content of a process's settings file.
func (c *Cluster) settings(m *Machine, role, data string) string {
	firstPort := c.options.firstInternalPort()
	var b strings.Builder
	for _, setting := range append(c.options.Limits[role].settings(), [][2]string{
		{"node", m.Name},
		{"role", role},
		{"ip", m.IP},
		{"zone", "zone-a"},
		{"zones.zone-a", "region-a"},
		{"listen.front", address(m.IP, frontPort)},
		{"listen.readiness", address(m.IP, readinessPort)},
		{"listen.control", address(m.IP, controlPort)},
		{"internal_ports", fmt.Sprintf("%d,%d", firstPort, firstPort+internalPorts-1)},
		{"seeds", strings.Join(c.seeds(), ",")},
		{"bootstrap", strconv.FormatBool(!c.hasStarted[m.Name])},
		{"data_dir", data},
		{"heartbeat_ms", "300"},
		{"tolerate.machines", strconv.Itoa(c.options.ToleratedLosses)},
		{"bounds.grace_s", "8"},
	}...) {
		b.WriteString(setting[0] + "=" + setting[1] + "\n")
	}
	return b.String()
}

// WipeDisk deletes the data directories of a machine that is down.
func (c *Cluster) WipeDisk(m *Machine) error {
	for _, role := range m.roles {
		if err := os.RemoveAll(c.DataDir(m, role)); err != nil {
			return err
		}
	}
	return nil
}
