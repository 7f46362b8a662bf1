package tiercluster

import (
	"fmt"
	"strings"

	"otterseam/harness/childprocess"
)

// AddMachine adds a machine of the class of another one and starts it; it is told that the tier exists already.
func (r *Rig) AddMachine(like string) (*Machine, error) {
	model := r.Machine(like)
	class, _, _ := strings.Cut(like, "-")
	m := &Machine{
		Name:      fmt.Sprintf("%s-%d", class, len(r.Machines)+1),
		IP:        r.options.ip(len(r.Machines) + 2),
		roles:     model.roles,
		processes: map[string]*childprocess.Process{},
	}
	r.Machines = append(r.Machines, m)
	r.started[m.Name] = true
	return m, r.StartMachine(m)
}

// Leave asks a machine's processes to end and waits until they have.
func (m *Machine) Leave() {
	for _, process := range m.processes {
		process.Terminate()
	}
	for _, process := range m.processes {
		<-process.Done()
	}
}
