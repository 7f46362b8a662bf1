// Package tiercluster runs a whole serving tier as real processes on loopback, each machine with an address of its own, so that
// tests and people can try it and take parts of it away.
package tiercluster

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterseam/harness/childprocess"
	"otterseam/harness/tierhost"
)

// Options say what is started.
type Options struct {
	Program  string // the otterseam-tier binary
	Dir      string // for settings, data and logs
	Network  int    // 1 to 250: the third part of the addresses, so that rigs of one program don't meet
	Process  int    // number of the program, so that rigs of several don't meet; 0: addresses 127.0.N.x and the usual ports
	Fronts   int
	Controls int
	Stores   int
	Tolerate int
	Late     []string // machines that Start leaves down
}

// Internal ports of rigs with a process number: below those that the system gives to outgoing connections.
const (
	ownPortsFrom   = 10000
	ownPortRanges  = 1400
	secondPartSize = 250
)

// ip is the address of a machine of the rig, by its number from 1 on.
func (o Options) ip(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", o.Process%secondPartSize, o.Network, machine)
}

// firstPort is the first internal port. Agents listen on 127.0.0.1, so that rigs of two programs with the same ports would meet
// there whatever their addresses are.
func (o Options) firstPort() int {
	if o.Process == 0 {
		return firstPort
	}
	return ownPortsFrom + o.Process%ownPortRanges*portCount
}

// Machine is one machine of the rig with its processes.
type Machine struct {
	Name      string
	IP        string
	roles     []string
	processes map[string]*childprocess.Process
}

// Rig is a running tier.
type Rig struct {
	options  Options
	Machines []*Machine
	Hosts    []*tierhost.Host
	started  map[string]bool // machines that have run before
}

const (
	frontPort     = 8149
	readinessPort = 8141
	controlPort   = 8144
	firstPort     = 7380 // of the internal ports, where Options.Process is 0
	portCount     = 16
	requestLimit  = 2 * time.Second
	retryPause    = 10 * time.Millisecond
)

// Start starts all processes.
func Start(options Options) (*Rig, error) {
	var err error
	if options.Dir, err = filepath.Abs(options.Dir); err != nil {
		return nil, err
	}
	r := &Rig{options: options, started: map[string]bool{}}
	r.addMachines("core", options.Controls, "control")
	r.addMachines("storage", options.Stores, "store")
	r.addMachines("front", options.Fronts, "agent", "proxy")
	for _, machine := range r.Machines {
		if slices.Contains(options.Late, machine.Name) {
			continue
		}
		if err := r.StartMachine(machine); err != nil {
			r.Stop()
			return nil, err
		}
	}
	return r, nil
}

func (r *Rig) addMachines(class string, count int, roles ...string) {
	for i := range count {
		r.Machines = append(r.Machines, &Machine{
			Name:      fmt.Sprintf("%s-%d", class, i+1),
			IP:        r.options.ip(len(r.Machines) + 2),
			roles:     roles,
			processes: map[string]*childprocess.Process{},
		})
	}
}

// StartMachine starts the processes of a machine that is down.
func (r *Rig) StartMachine(m *Machine) error {
	for _, role := range m.roles {
		name := m.Name + "-" + role
		data := filepath.Join(r.options.Dir, "data", name)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return err
		}
		path := filepath.Join(r.options.Dir, name+".conf")
		if err := os.WriteFile(path, []byte(r.settings(m, role, data)), 0o644); err != nil {
			return err
		}
		process, err := childprocess.StartCommand([]string{r.options.Program, role}, name, r.options.Dir, "OTTERSEAM_NODE_FILE="+path)
		if err != nil {
			return err
		}
		m.processes[role] = process
	}
	r.started[m.Name] = true
	return nil
}

func (r *Rig) settings(m *Machine, role, data string) string {
	var b strings.Builder
	line := func(key, value string) { b.WriteString(key + "=" + value + "\n") }
	line("node", m.Name)
	line("role", role)
	line("ip", m.IP)
	line("zone", "zone-a")
	line("zones.zone-a", "region-a")
	line("listen.front", address(m.IP, frontPort))
	line("listen.readiness", address(m.IP, readinessPort))
	line("listen.control", address(m.IP, controlPort))
	line("internal_ports", fmt.Sprintf("%d,%d", r.options.firstPort(), r.options.firstPort()+portCount-1))
	line("seeds", strings.Join(r.seeds(), ","))
	line("bootstrap", strconv.FormatBool(!r.started[m.Name]))
	line("data_dir", data)
	line("heartbeat_ms", "300")
	line("tolerate.machines", strconv.Itoa(r.options.Tolerate))
	line("bounds.grace_s", "8")
	return b.String()
}

func address(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

const seedCount = 3

func (r *Rig) seeds() []string {
	controls := r.Controls()
	return controls[:min(len(controls), seedCount)]
}

// Controls are the addresses that hosts and the operator call.
func (r *Rig) Controls() []string { return r.addresses("core", controlPort) }

// StatusAddresses are the addresses of control processes that otterctl status asks: those of their internal ports.
func (r *Rig) StatusAddresses() []string { return r.addresses("core", r.options.firstPort()) }

// Fronts are the addresses that clients call.
func (r *Rig) Fronts() []string { return r.addresses("front", frontPort) }

func (r *Rig) addresses(class string, port int) []string {
	var all []string
	for _, machine := range r.Machines {
		if strings.HasPrefix(machine.Name, class+"-") {
			all = append(all, address(machine.IP, port))
		}
	}
	return all
}

// Machine finds a machine by its name.
func (r *Rig) Machine(name string) *Machine {
	for _, machine := range r.Machines {
		if machine.Name == name {
			return machine
		}
	}
	return nil
}

// Kill ends a machine's processes at once.
func (m *Machine) Kill() {
	for _, process := range m.processes {
		process.Kill()
		<-process.Done()
	}
}

// Process is a machine's process of a role.
func (m *Machine) Process(role string) *childprocess.Process { return m.processes[role] }

// Wipe removes a stopped machine's disk.
func (r *Rig) Wipe(m *Machine) error {
	for _, role := range m.roles {
		if err := os.RemoveAll(filepath.Join(r.options.Dir, "data", m.Name+"-"+role)); err != nil {
			return err
		}
	}
	return nil
}

// AddHost starts a stand-in host.
func (r *Rig) AddHost(id, service string, slots int) (*tierhost.Host, error) {
	host := &tierhost.Host{ID: id, Service: service, Slots: slots, Controls: r.Controls}
	if err := host.Start(address(r.options.ip(1), 0)); err != nil {
		return nil, err
	}
	r.Hosts = append(r.Hosts, host)
	return host, nil
}

// Stop ends everything.
func (r *Rig) Stop() {
	for _, host := range r.Hosts {
		host.Stop()
	}
	for _, machine := range r.Machines {
		machine.Kill()
	}
}

// Config is a configuration for the stand-in hosts.
func Config(version uint64) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"chat","host":"try.example","path_prefix":"/chat/","route_type":"streaming","timeout_ms":5000,"target_ms":250,"priority":0,
  "service":"engine","max_attempts":2,"retained":true,"keep_s":60,"sticky":true,"resumable":false,"gap_aim_ms":400},
 {"name":"draft","host":"try.example","path_prefix":"/draft/","route_type":"streaming","timeout_ms":5000,"target_ms":250,"priority":1,
  "service":"engine","max_attempts":2,"resumable":true,"gap_aim_ms":400},
 {"name":"lookup","host":"try.example","path_prefix":"/lookup/","route_type":"safe","timeout_ms":1200,"target_ms":150,"priority":2,
  "service":"records","max_attempts":2},
 {"name":"issue","host":"try.example","path_prefix":"/issue/","route_type":"unsafe","timeout_ms":3000,"target_ms":500,"priority":2,
  "service":"records","max_attempts":1}],
 "services":[{"name":"engine","health_path":"/health","max_conns":230,"protocol":"h1","engine":{"slots":32,"kv_tokens":200000,"stride":3}},
  {"name":"records","health_path":"/health","max_conns":96,"protocol":"h1"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version)
}

// Answer is what a call got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error // the answer broke off
}

// Call sends one request on a connection of its own.
func Call(method, url, host string, header map[string]string, body string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit*3)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = host
	request.Close = true
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(text), Err: err}
}

// Replace sends a configuration to one control address after another until one gives a clear answer.
func (r *Rig) Replace(base uint64, config string, limit time.Duration) Answer {
	var last Answer
	err := Until(limit, func() bool {
		for _, control := range r.Controls() {
			header := map[string]string{"X-Base-Version": strconv.FormatUint(base, 10), "Content-Type": "application/json"}
			last = Call(http.MethodPost, "http://"+control+"/v1/config/replace", control, header, config)
			if last.Err == nil && last.Status != http.StatusServiceUnavailable {
				return true
			}
		}
		return false
	})
	if err != nil {
		last.Err = errors.Join(err, last.Err)
	}
	return last
}

// WaitReady waits until all fronts call themselves ready.
func (r *Rig) WaitReady(limit time.Duration) error {
	return Until(limit, func() bool {
		for _, front := range r.addresses("front", readinessPort) {
			if got := Call(http.MethodGet, "http://"+front+"/v1/readiness", front, nil, ""); got.Status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// Until asks again and again until it is so.
func Until(limit time.Duration, so func() bool) error {
	deadline := time.Now().Add(limit)
	for !so() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not so within %s", limit)
		}
		<-time.After(retryPause)
	}
	return nil
}
