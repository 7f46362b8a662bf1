package tiersoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"otterseam/harness/tiercluster"
	"otterseam/harness/tierhost"
)

const (
	maxFaultInterval = 2500 * time.Millisecond // between the beginnings of two faults
	maxDowntime      = 2 * time.Second
	maxSuspension    = 4 * time.Second
	replaceLimit     = 20 * time.Second
	syncLimit        = 20 * time.Second // for a machine that lost its disk
)

// adversary plays faults. Those of different machines overlap, those of one machine follow each other.
type adversary struct {
	soak   *soak
	random *rand.Rand
	tasks  sync.WaitGroup

	mu      sync.Mutex      // guards all below, and the starting of machines
	busy    map[string]bool // names of machines with a fault
	version uint64          // of the configuration
	hosts   []*tierhost.Host
	added   int // hosts that joined
}

// playFaults plays faults for the duration of the soak and waits until all machines are up again.
func (s *soak) playFaults() {
	a := &adversary{soak: s, random: s.random(0), busy: map[string]bool{}, version: 1, hosts: s.cluster.Hosts}
	for end := time.Now().Add(s.options.Duration); time.Now().Before(end); {
		time.Sleep(time.Duration(a.random.Int64N(int64(maxFaultInterval))))
		a.playOne()
	}
	a.tasks.Wait()
}

func (a *adversary) playOne() {
	switch draw := a.random.IntN(20); {
	case draw < 7:
		a.disturb(a.pick("front-"))
	case draw < 14:
		a.disturbQuorum()
	case draw == 14:
		a.loseDisk()
	case draw == 15:
		a.killAll()
	case draw < 18:
		a.replaceConfig()
	default:
		a.replaceHost()
	}
}

// record notes the beginning of a fault.
func (a *adversary) record(format string, args ...any) {
	a.soak.mu.Lock()
	defer a.soak.mu.Unlock()
	a.soak.faults = append(a.soak.faults, fmt.Sprintf(format, args...))
}

// pick returns a random machine whose name has one of the prefixes and that has no fault, or nil.
func (a *adversary) pick(prefixes ...string) *tiercluster.Machine {
	a.mu.Lock()
	defer a.mu.Unlock()
	machines := a.soak.cluster.Machines
	for range machines {
		machine := machines[a.random.IntN(len(machines))]
		for _, prefix := range prefixes {
			if strings.HasPrefix(machine.Name, prefix) && !a.busy[machine.Name] {
				return machine
			}
		}
	}
	return nil
}

// quorumFaults returns the number of control and store machines with a fault.
func (a *adversary) quorumFaults() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for name, busy := range a.busy {
		if busy && !strings.HasPrefix(name, "front-") {
			count++
		}
	}
	return count
}

func (a *adversary) setBusy(machine *tiercluster.Machine, busy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy[machine.Name] = busy
}

// start starts a machine that is down.
func (a *adversary) start(machine *tiercluster.Machine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.soak.cluster.StartMachine(machine); err != nil {
		a.record("%s did not start: %v", machine.Name, err)
	}
}

// disturbQuorum disturbs a control or store machine unless as many as may be lost are disturbed already.
func (a *adversary) disturbQuorum() {
	if a.quorumFaults() < a.soak.size.toleratedLosses {
		a.disturb(a.pick("core-", "storage-"))
	}
}

// disturbance is a series of signals to the processes of one machine.
type disturbance struct {
	name    string
	maximum time.Duration // of the pause
	play    func(machine *tiercluster.Machine, pause time.Duration)
	ends    bool // whether the processes have ended and have to be started again
}

var disturbances = []disturbance{
	{"suspended", maxSuspension, suspend, false},
	{"suspended and killed", maxSuspension, func(machine *tiercluster.Machine, pause time.Duration) {
		machine.Suspend()
		time.Sleep(pause)
		machine.Kill()
	}, true},
	{"terminated and killed later", maxDowntime, func(machine *tiercluster.Machine, pause time.Duration) {
		machine.Terminate()
		time.Sleep(pause)
		machine.Kill()
	}, true},
	{"terminated while suspended", maxDowntime, func(machine *tiercluster.Machine, pause time.Duration) {
		machine.Suspend()
		machine.Terminate()
		time.Sleep(pause)
		machine.Resume()
		machine.ShutDown()
	}, true},
	{"shut down", maxDowntime, func(machine *tiercluster.Machine, pause time.Duration) {
		machine.ShutDown()
		time.Sleep(pause)
	}, true},
	{"killed", maxDowntime, func(machine *tiercluster.Machine, pause time.Duration) {
		machine.Kill()
		time.Sleep(pause)
	}, true},
}

func suspend(machine *tiercluster.Machine, pause time.Duration) {
	machine.Suspend()
	time.Sleep(pause)
	machine.Resume()
}

// disturb plays a disturbance of a machine beside the other faults.
func (a *adversary) disturb(machine *tiercluster.Machine) {
	if machine == nil {
		return
	}
	a.setBusy(machine, true)
	each := disturbances[a.random.IntN(len(disturbances))]
	pause := time.Duration(a.random.Int64N(int64(each.maximum)))
	a.tasks.Go(func() {
		defer a.setBusy(machine, false)
		a.record("%s %s, %s", machine.Name, each.name, pause)
		each.play(machine, pause)
		if each.ends {
			a.start(machine)
		}
	})
}

// loseDisk kills a control or store machine and starts it with an empty disk, if nothing else is wrong. Until it is in sync again, no
// other control or store machine has a fault.
func (a *adversary) loseDisk() {
	replicas := a.soak.size.toleratedLosses*2 + 1
	machine := a.pick("core-", "storage-")
	if machine == nil || a.quorumFaults() > 0 || !a.soak.cluster.IsInSync(replicas) {
		return
	}
	a.record("%s loses its disk", machine.Name)
	a.setBusy(machine, true)
	defer a.setBusy(machine, false)
	machine.Kill()
	if err := a.soak.cluster.WipeDisk(machine); err != nil {
		a.record("%s keeps its disk: %v", machine.Name, err)
	}
	a.start(machine)
	if err := tiercluster.WaitUntil(syncLimit, func() bool { return a.soak.cluster.IsInSync(replicas) }); err != nil {
		a.record("%s is not in sync: %v", machine.Name, err)
	}
}

// killAll kills all machines without a fault at once and starts them again.
func (a *adversary) killAll() {
	a.record("all machines killed")
	var killed []*tiercluster.Machine
	for _, machine := range a.soak.cluster.Machines {
		a.mu.Lock()
		busy := a.busy[machine.Name]
		a.busy[machine.Name] = true
		a.mu.Unlock()
		if !busy {
			killed = append(killed, machine)
		}
	}
	var ended sync.WaitGroup
	for _, machine := range killed {
		ended.Go(machine.Kill)
	}
	ended.Wait()
	for _, machine := range killed {
		a.start(machine)
		a.setBusy(machine, false)
	}
}

// replaceConfig replaces the configuration beside the other faults.
func (a *adversary) replaceConfig() {
	a.tasks.Go(func() {
		a.mu.Lock()
		base := a.version
		a.version++
		a.mu.Unlock()
		a.record("configuration %d", base+1)
		if got := a.soak.cluster.ReplaceConfig(base, config(base+1), replaceLimit); got.Err != nil || got.Status != http.StatusOK {
			a.record("configuration %d: status %d, %v", base+1, got.Status, got.Err)
		}
	})
}

// replaceHost lets a host crash while another one joins.
func (a *adversary) replaceHost() {
	a.added++
	if err := a.soak.addEngine(a.soak.size.engines + a.added); err != nil {
		a.record("no host joined: %v", err)
		return
	}
	gone := a.hosts[0]
	a.record("%s crashed", gone.ID)
	a.hosts = append(a.hosts[1:], a.soak.cluster.Hosts[len(a.soak.cluster.Hosts)-1])
	gone.Stop()
}

// executions returns what all hosts have executed.
func (s *soak) executions() []tierhost.Execution {
	var all []tierhost.Execution
	for _, host := range s.cluster.Hosts {
		all = append(all, host.Executions()...)
	}
	return all
}
