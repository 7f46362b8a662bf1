package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of each machine. Each run has loopback addresses of its own.
const (
	frontPort     = 8149
	readinessPort = 8141
	controlPort   = 8144
	internalFirst = 7380
	internalLast  = 7395
)

const program = "target/otterseam-tier"

// machine is one machine of the deployment. Each process runs with the command of deploy/system.toml.
type machine struct {
	name      string
	class     string
	zone      string
	ip        string
	roles     []string
	started   bool // ran before, so that bootstrap is false
	processes map[string]*exec.Cmd
	ended     map[string]chan struct{}
}

// tier is a running deployment.
type tier struct {
	record   *record
	folder   string
	network  string // the first three numbers of all addresses
	machines []*machine
	hosts    []*host
	tolerate int // tolerate.machines
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newTier prepares a deployment in a temporary folder, on addresses on which nobody listens.
func newTier(r *record, cores, stores, fronts int) (*tier, error) {
	folder, err := os.MkdirTemp("", "review-stand-2-")
	if err != nil {
		return nil, err
	}
	t := &tier{record: r, folder: folder, tolerate: 1}
	running = t
	for range 50 {
		t.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if t.isFree(cores + stores + fronts + 1) {
			break
		}
	}
	t.add("core", cores, "control")
	t.add("storage", stores, "store")
	t.add("front", fronts, "agent", "proxy")
	return t, nil
}

func (t *tier) isFree(machines int) bool {
	for i := range machines {
		for _, port := range []int{frontPort, readinessPort, controlPort, internalFirst, internalFirst + 1, internalFirst + 2} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", t.network, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (t *tier) add(class string, count int, roles ...string) {
	for i := range count {
		zone := zones[i%len(zones)]
		t.machines = append(t.machines, &machine{
			name: fmt.Sprintf("%s-%s-%d", class, zone, i+1), class: class, zone: zone,
			ip: fmt.Sprintf("%s.%d", t.network, len(t.machines)+2), roles: roles,
			processes: map[string]*exec.Cmd{}, ended: map[string]chan struct{}{},
		})
	}
}

func (t *tier) ofClass(class string) []*machine {
	var found []*machine
	for _, m := range t.machines {
		if m.class == class {
			found = append(found, m)
		}
	}
	return found
}

func (t *tier) controls() []string {
	var addresses []string
	for _, m := range t.ofClass("core") {
		addresses = append(addresses, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return addresses
}

func (t *tier) fronts() []string {
	var addresses []string
	for _, m := range t.ofClass("front") {
		addresses = append(addresses, fmt.Sprintf("%s:%d", m.ip, frontPort))
	}
	return addresses
}

func (t *tier) dataDir(m *machine, role string) string {
	return filepath.Join(t.folder, m.name+"-"+role+"-data")
}

// seedCount is how many addresses the settings name as seeds.
const seedCount = 3

// bounds holds the bounds of the site, by tolerate.machines: tamsui-results for 1, tamsui-results-grown for 2.
var bounds = map[int][]string{
	1: {
		"seed_lag_s=3", "reuse_after_s=2", "contact_ms=3000", "ack_ms=4000", "catch_up_s=4.4", "drain_ms=2000", "grace_s=8", "loss_slack_ms=200",
		"config_apply_ms=2000", "revert_slack_ms=250", "skew_max_ms=5000", "recovery_s=12", "pass_ms=120", "again_s=0", "finish_s=10", "settle_ms=1000",
	},
	2: {
		"seed_lag_s=3", "reuse_after_s=2", "contact_ms=4000", "ack_ms=5000", "catch_up_s=6", "drain_ms=2500", "grace_s=8", "loss_slack_ms=200",
		"config_apply_ms=2500", "revert_slack_ms=250", "skew_max_ms=6000", "recovery_s=15", "pass_ms=200", "again_s=0", "finish_s=10", "settle_ms=1000",
	},
}

// settings returns the settings file of a process, after the example of DEPLOY.md, with the bounds of the site.
func (t *tier) settings(m *machine, role string) string {
	serves := map[string]string{"proxy": "front", "agent": "", "control": "control", "store": "storage"}[role]
	var b strings.Builder
	set := func(key, value string) { b.WriteString(key + "=" + value + "\n") }
	set("node", m.name)
	set("role", role)
	set("machine_class", m.class)
	set("serves", serves)
	set("ip", m.ip)
	set("zone", m.zone)
	set("region", "region-a")
	for _, zone := range zones {
		set("zones."+zone, "region-a")
	}
	if role == "proxy" {
		set("listen.front", fmt.Sprintf("%s:%d", m.ip, frontPort))
		set("listen.readiness", fmt.Sprintf("%s:%d", m.ip, readinessPort))
	}
	if role == "control" {
		set("listen.control", fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	if role == "control" || role == "store" {
		set("data_dir", t.dataDir(m, role))
	}
	set("internal_ports", fmt.Sprintf("%d,%d", internalFirst, internalLast))
	set("seeds", strings.Join(t.controls()[:min(seedCount, len(t.controls()))], ","))
	set("bootstrap", fmt.Sprint(!m.started))
	set("counts_for_quorum", fmt.Sprint(m.class != "front"))
	set("limits.memory_mb", "284")
	set("limits.max_fds", "4100")
	set("discovery", "registry")
	set("entry", "vip")
	set("heartbeat_ms", "1200")
	set("contracts", "base,drain,config,cost,recover,agent,stream,engine")
	set("tolerate.machines", fmt.Sprint(t.tolerate))
	set("tolerate.zones", "0")
	set("tolerate.regions", "0")
	for _, bound := range bounds[t.tolerate] {
		b.WriteString("bounds." + bound + "\n")
	}
	return b.String()
}

// start starts the processes of a machine.
func (t *tier) start(m *machine) error {
	for _, role := range m.roles {
		if err := t.startRole(m, role); err != nil {
			return err
		}
	}
	m.started = true
	return nil
}

func (t *tier) startAll(machines []*machine) error {
	for _, m := range machines {
		if err := t.start(m); err != nil {
			return err
		}
	}
	return nil
}

func (t *tier) startRole(m *machine, role string) error {
	if role == "control" || role == "store" {
		if err := os.MkdirAll(t.dataDir(m, role), 0o755); err != nil {
			return err
		}
	}
	file := filepath.Join(t.folder, m.name+"-"+role+".conf")
	if err := os.WriteFile(file, []byte(t.settings(m, role)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(t.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(program, role)
	process.Env = append(os.Environ(), "OTTERSEAM_NODE_FILE="+file)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.processes[role], m.ended[role] = process, ended
	t.record.note("start %s %s, process %d", m.name, role, process.Process.Pid)
	go func() {
		err := process.Wait()
		t.record.note("ended %s %s: %v", m.name, role, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to one process of a machine.
func (t *tier) signal(m *machine, role string, signal syscall.Signal) {
	t.record.note("signal %s to %s %s", signal, m.name, role)
	_ = m.processes[role].Process.Signal(signal)
}

// kill sends SIGKILL to the processes of a machine and waits for their end.
func (t *tier) kill(m *machine) {
	for role, process := range m.processes {
		t.record.note("SIGKILL to %s %s", m.name, role)
		_ = process.Process.Kill()
	}
	for _, ended := range m.ended {
		<-ended
	}
}

// wipe empties the disk of a machine whose processes have ended.
func (t *tier) wipe(m *machine) error {
	t.record.note("the disk of %s is lost", m.name)
	for _, role := range m.roles {
		if err := os.RemoveAll(t.dataDir(m, role)); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and stand-ins and removes the temporary folder.
func (t *tier) stop() {
	for _, h := range t.hosts {
		h.stop()
	}
	for _, m := range t.machines {
		for _, process := range m.processes {
			_ = process.Process.Signal(syscall.SIGCONT)
		}
		t.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(t.folder)
	}
}

// run starts all machines, the hosts and the first configuration, and waits until the fronts are ready.
func (t *tier) run(config string, hosts ...*host) error {
	for _, m := range t.machines {
		if err := t.start(m); err != nil {
			return err
		}
	}
	for i, h := range hosts {
		h.tier, h.zone = t, zones[i%len(zones)]
		if err := h.start(); err != nil {
			return err
		}
		t.hosts = append(t.hosts, h)
	}
	if err := t.replaceConfig(0, config); err != nil {
		return err
	}
	return waitFor(20*time.Second, "readiness of all fronts", func() bool {
		for _, m := range t.ofClass("front") {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.ip, readinessPort))
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// replaceConfig sends a configuration, as the operator does, until it is taken.
func (t *tier) replaceConfig(base uint64, config string) error {
	client := &http.Client{Timeout: time.Second}
	last := "no answer"
	for i := range 100 {
		control := t.controls()[i%len(t.controls())]
		request, err := http.NewRequest(http.MethodPost, "http://"+control+"/v1/config/replace", strings.NewReader(config))
		if err != nil {
			return err
		}
		request.Header.Set("X-Base-Version", fmt.Sprint(base))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			last = fmt.Sprint(response.StatusCode, " ", string(body))
			if response.StatusCode == http.StatusOK {
				t.record.note("configuration on version %d is acknowledged", base)
				return nil
			}
			if response.StatusCode < 500 {
				break
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not taken: " + last)
}

// beginRetirement orders that a store machine be emptied, as the operator does, until the order is taken.
func (t *tier) beginRetirement(node string) error {
	client := &http.Client{Timeout: time.Second}
	last := "no answer"
	for i := range 50 {
		control := t.controls()[i%len(t.controls())]
		response, err := client.Post("http://"+control+"/v1/retire/"+node+"/begin", "application/json", strings.NewReader(`{"deadline_s":10}`))
		if err == nil {
			_ = response.Body.Close()
			last = response.Status
			t.record.note("order to empty %s: status %d", node, response.StatusCode)
			if response.StatusCode == http.StatusOK {
				return nil
			}
			if response.StatusCode < 500 {
				break
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the order to empty a store machine was not taken: " + last)
}

// noteRetirement writes the state of a retirement to the record.
func (t *tier) noteRetirement(node string) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + t.controls()[0] + "/v1/retire/" + node + "/read")
	if err != nil {
		t.record.say("the state of the retirement of %s doesn't come: %v", node, err)
		return
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	t.record.say("retirement of %s: status %d, %s", node, response.StatusCode, body)
}

func waitFor(limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("not in time: " + what)
		}
	}
	return nil
}
